from chiveridge_kernel import peers
from chiveridge_node import drops, logevents


def test_every_drop_counts_and_few_are_logged(monkeypatch):
    written = []
    monkeypatch.setattr(logevents, "write", lambda event, **fields: written.append(fields["count"]))
    seconds = iter([0.0] * 5 + [drops.LOG_INTERVAL_SECONDS])
    counter = drops.DropCounter(lambda: next(seconds))
    for _ in range(6):
        counter.count(peers.PeerMessageError(peers.DropReason.CORRUPT, "corrupt"))
    assert written == [1, 5]
