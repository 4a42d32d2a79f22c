import json

from chiveridge_node import decision_logs
from chiveridge_pool import actions, notes

GOOD = {"verdict": "complete", "is_late": False}
BAD = {"verdict": "refused", "is_late": False}


class Output:
    def __init__(self):
        self.data = b""
        self.is_blocked = False

    def write(self, data: bytes) -> int:
        if self.is_blocked:
            raise BlockingIOError
        self.data += data
        return len(data)

    def jobs(self) -> list[str]:
        return [json.loads(line)["job"] for line in self.data.splitlines()]


def make_log():
    output = Output()
    clock_times = [0.0]
    log = decision_logs.DecisionLog("n1", output.write, lambda: clock_times[0], lambda: 5.0)
    return log, output, clock_times


def make_note(event: notes.NoteEvent, job: str, **fields) -> actions.Note:
    return actions.Note(event=event, fields={"job": job, **fields})


def log_request(log, job: str, answer: dict) -> None:
    log.record_decision(make_note(notes.NoteEvent.JOB_TAKEN, job))
    log.record_decision(make_note(notes.NoteEvent.JOB_PLACED, job))
    log.record_decision(make_note(notes.NoteEvent.JOB_ANSWERED, job, **answer))


def test_lines_have_number_name_time_node_and_fields():
    log, output, _ = make_log()
    log.record_decision(actions.Note(event=notes.NoteEvent.TARGET_SILENT, fields={"target": "t1"}))
    log.flush()
    assert json.loads(output.data) == {
        "at": 5.0,
        "node": "n1",
        "event": 521,
        "name": "TARGET_SILENT",
        "target": "t1",
    }


def test_writes_hold_whole_lines_and_fit_an_atomic_pipe_write():
    writes = []

    def write(data: bytes) -> int:
        writes.append(data)
        return len(data)

    log = decision_logs.DecisionLog("n1", write)
    for number in range(200):
        log_request(log, f"job-{number}", BAD)
    log.record_decision(make_note(notes.NoteEvent.JOB_REFUSED, "wide", reason="x" * 10_000))
    log.flush()
    assert all(data.endswith(b"\n") for data in writes)
    *shorter, longest = sorted(writes, key=len)
    assert max(len(data) for data in shorter) <= decision_logs.MAX_WRITE_BYTES
    assert longest.count(b"\n") == 1
    assert sum(data.count(b"\n") for data in writes) == 601


def test_lines_left_by_a_blocked_write_are_written_by_a_later_flush():
    log, output, _ = make_log()
    written = []

    def write(data: bytes) -> int:
        if len(written) == 2:
            raise BlockingIOError
        written.append(data)
        return output.write(data)

    log._write = write
    for number in range(100):
        log_request(log, f"job-{number}", BAD)
    log.flush()
    assert len(written) == 2
    log._write = output.write
    log.flush()
    assert len(output.jobs()) == 300


def test_a_request_is_logged_on_arrival():
    log, output, _ = make_log()
    log.record_decision(make_note(notes.NoteEvent.JOB_TAKEN, "lost"))
    log.record_decision(make_note(notes.NoteEvent.JOB_PLACED, "lost"))
    log.flush()
    assert output.jobs() == ["lost"]


def test_a_logged_request_has_its_answer_logged_even_over_budget():
    log, output, _ = make_log()
    for number in range(1000):
        log_request(log, f"good-{number}", GOOD)
    log.flush()
    lines = [json.loads(line) for line in output.data.splitlines()]
    arrived = [line["job"] for line in lines if line["name"] == "JOB_TAKEN"]
    answered = [line["job"] for line in lines if line["name"] == "JOB_ANSWERED"]
    assert arrived == answered
    assert 0 < len(arrived) < 1000


def test_a_request_with_a_failed_run_is_logged_through_to_its_answer():
    log, output, _ = make_log()
    log.record_decision(make_note(notes.NoteEvent.JOB_TAKEN, "mended"))
    log.record_decision(make_note(notes.NoteEvent.RUN_ENDED, "mended", how="failed"))
    for number in range(1000):
        log_request(log, f"good-{number}", GOOD)
    log.record_decision(make_note(notes.NoteEvent.JOB_ANSWERED, "mended", **GOOD))
    log.flush()
    assert output.jobs().count("mended") == 3
    assert not log._lines_by_request


def test_good_requests_stay_within_the_budget_and_every_bad_one_is_written():
    log, output, clock_times = make_log()
    for number in range(5000):
        clock_times[0] = number / 1000
        log_request(log, f"good-{number}", GOOD)
        if number % 50 == 0:
            log_request(log, f"bad-{number}", BAD)
    log.flush()
    jobs = output.jobs()
    good = [job for job in jobs if job.startswith("good")]
    allowed = decision_logs.GOOD_BURST_LINES + 5 * decision_logs.GOOD_LINES_PER_SECOND
    assert len(good) <= allowed
    assert jobs.count("bad-0") == 3
    assert len([job for job in jobs if job.startswith("bad")]) == 300
    assert log.dropped_good == 15_000 - len(good)
    assert log.dropped_bad == 0


def test_a_blocked_reader_delays_nothing_and_dropped_lines_are_counted():
    log, output, clock_times = make_log()
    output.is_blocked = True
    for number in range(20_000):
        clock_times[0] = number
        log_request(log, f"bad-{number}", BAD)
        log.flush()
    assert log.dropped_bad > 0
    assert len(log._buffer) <= decision_logs.MAX_BUFFER_BYTES
    output.is_blocked = False
    log.flush()
    assert output.jobs()[0] == "bad-0"


def test_a_closed_output_raises_no_error():
    def closed(data: bytes) -> int:
        raise BrokenPipeError

    log = decision_logs.DecisionLog("n1", closed)
    log_request(log, "bad", BAD)
    log.flush()
