"""Records that are skipped at each read of a list fill neither the log nor the memory."""

import pytest

from chiveridge_node import log_events, skipped_records


@pytest.fixture
def lines(monkeypatch):
    logged = []
    monkeypatch.setattr(
        log_events, "log_event", lambda event, **fields: logged.append((event, fields))
    )
    return logged


def test_a_record_that_is_skipped_at_each_read_is_logged_once_a_minute(lines):
    now = [0.0]
    skipped = skipped_records.SkippedRecords(lambda: now[0])
    record = skipped.recorder("keyed.servers")
    for second in range(61):
        now[0] = float(second)
        record("i-1", "port '70000' is not from 1 to 65535")
    assert skipped.count_by_source["keyed.servers"] == 61
    assert [event for event, _ in lines] == [log_events.LogEvent.RECORD_SKIPPED] * 2
    assert [fields["suppressed"] for _, fields in lines] == [0, 59]


def test_many_records_are_counted_and_few_of_them_logged(lines):
    skipped = skipped_records.SkippedRecords(lambda: 0.0)
    for number in range(5000):
        skipped.record("keyed.servers", f"i-{number}", "no use")
    assert skipped.count_by_source["keyed.servers"] == 5000
    assert len(lines) == 100
