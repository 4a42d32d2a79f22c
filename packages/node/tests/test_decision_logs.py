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


def new_log():
    output = Output()
    times = [0.0]
    log = decision_logs.DecisionLog("n1", output.write, lambda: times[0], lambda: 5.0)
    return log, output, times


def note(event: notes.NoteEvent, job: str, **fields) -> actions.Note:
    return actions.Note(event=event, fields={"job": job, **fields})


def request(log, job: str, answer: dict) -> None:
    log.note(note(notes.NoteEvent.JOB_TAKEN, job))
    log.note(note(notes.NoteEvent.JOB_PLACED, job))
    log.note(note(notes.NoteEvent.JOB_ANSWERED, job, **answer))


def test_lines_carry_number_name_time_node_and_inputs():
    log, output, _ = new_log()
    log.note(actions.Note(event=notes.NoteEvent.TARGET_SILENT, fields={"target": "t1"}))
    log.flush()
    assert json.loads(output.data) == {
        "at": 5.0,
        "node": "n1",
        "event": 521,
        "name": "TARGET_SILENT",
        "target": "t1",
    }


def test_lines_are_written_whole_and_no_more_at_once_than_a_pipe_takes_as_one():
    writes = []

    def write(data: bytes) -> int:
        writes.append(data)
        return len(data)

    log = decision_logs.DecisionLog("n1", write)
    for number in range(200):
        request(log, f"job-{number}", BAD)
    log.note(note(notes.NoteEvent.JOB_REFUSED, "wide", reason="x" * 10_000))
    log.flush()
    assert all(data.endswith(b"\n") for data in writes)
    *usual, widest = sorted(writes, key=len)
    assert max(len(data) for data in usual) <= decision_logs.MAX_WRITE_BYTES
    assert widest.count(b"\n") == 1
    assert sum(data.count(b"\n") for data in writes) == 601


def test_a_reader_that_takes_nothing_more_gets_the_rest_later():
    log, output, _ = new_log()
    taken = []

    def write(data: bytes) -> int:
        if len(taken) == 2:
            raise BlockingIOError
        taken.append(data)
        return output.write(data)

    log._write = write
    for number in range(100):
        request(log, f"job-{number}", BAD)
    log.flush()
    assert len(taken) == 2
    log._write = output.write
    log.flush()
    assert len(output.jobs()) == 300


def test_a_request_is_told_when_it_is_taken_in():
    log, output, _ = new_log()
    log.note(note(notes.NoteEvent.JOB_TAKEN, "lost"))
    log.note(note(notes.NoteEvent.JOB_PLACED, "lost"))
    log.flush()
    assert output.jobs() == ["lost"]


def test_a_request_that_is_told_has_its_answer_told_whatever_the_budget():
    log, output, _ = new_log()
    for number in range(1000):
        request(log, f"good-{number}", GOOD)
    log.flush()
    lines = [json.loads(line) for line in output.data.splitlines()]
    taken = [line["job"] for line in lines if line["name"] == "JOB_TAKEN"]
    answered = [line["job"] for line in lines if line["name"] == "JOB_ANSWERED"]
    assert taken == answered
    assert 0 < len(taken) < 1000


def test_a_request_whose_run_failed_is_told_to_its_answer():
    log, output, _ = new_log()
    log.note(note(notes.NoteEvent.JOB_TAKEN, "mended"))
    log.note(note(notes.NoteEvent.RUN_ENDED, "mended", how="failed"))
    for number in range(1000):
        request(log, f"good-{number}", GOOD)
    log.note(note(notes.NoteEvent.JOB_ANSWERED, "mended", **GOOD))
    log.flush()
    assert output.jobs().count("mended") == 3
    assert not log._lines_by_request


def test_a_flood_of_good_requests_keeps_to_the_budget_and_every_bad_one_is_written():
    log, output, times = new_log()
    for number in range(5000):
        times[0] = number / 1000
        request(log, f"good-{number}", GOOD)
        if number % 50 == 0:
            request(log, f"bad-{number}", BAD)
    log.flush()
    jobs = output.jobs()
    good = [job for job in jobs if job.startswith("good")]
    allowed = decision_logs.BURST_LINES + 5 * decision_logs.LINES_PER_SECOND
    assert len(good) <= allowed
    assert jobs.count("bad-0") == 3
    assert len([job for job in jobs if job.startswith("bad")]) == 300
    assert log.dropped_good == 15_000 - len(good)
    assert log.dropped_bad == 0


def test_a_reader_that_does_not_read_stops_nothing_and_what_is_dropped_is_counted():
    log, output, times = new_log()
    output.is_blocked = True
    for number in range(20_000):
        times[0] = number
        request(log, f"bad-{number}", BAD)
        log.flush()
    assert log.dropped_bad > 0
    assert len(log._buffer) <= decision_logs.MAX_BUFFER_BYTES
    output.is_blocked = False
    log.flush()
    assert output.jobs()[0] == "bad-0"


def test_a_closed_output_is_no_error():
    def closed(data: bytes) -> int:
        raise BrokenPipeError

    log = decision_logs.DecisionLog("n1", closed)
    request(log, "bad", BAD)
    log.flush()
