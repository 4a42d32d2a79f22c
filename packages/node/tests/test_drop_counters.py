import prometheus_client

from chiveridge_kernel import peers
from chiveridge_node import drop_counters, log_events


def test_every_drop_is_counted_and_logging_is_rate_limited(monkeypatch):
    written = []
    monkeypatch.setattr(
        log_events, "log_event", lambda event, **fields: written.append(fields["count"])
    )
    seconds = iter([0.0] * 5 + [drop_counters.LOG_INTERVAL_SECONDS])
    registry = prometheus_client.CollectorRegistry()
    dropped = prometheus_client.Counter("dropped", "Drops.", ["reason"], registry=registry)
    counter = drop_counters.DropCounter(dropped, lambda: next(seconds))
    for _ in range(6):
        counter.record(peers.PeerMessageError(peers.DropReason.CORRUPT, "corrupt"))
    assert written == [1, 5]
    assert registry.get_sample_value("dropped_total", {"reason": "corrupt"}) == 6
