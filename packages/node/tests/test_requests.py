import asyncio
import random

import msgspec
import pytest

from chiveridge_kernel import actions, clocks, events, kernels, messages, peers, results, vms
from chiveridge_load import deployments
from chiveridge_node import requests, shells

DESK = deployments.TeamPlan(name="desk", secret="secret-of-desk")
TARGET = vms.Vm(
    name="ikeja-t1",
    role=vms.VmRole.TARGET,
    domain="ikeja",
    address="127.0.0.1",
    port=1,
    slots=8,
)
LOOP_TURNS = 20
LONG_WAIT_MS = 60_000


class Served:
    """Requests on a kernel of one target, to which nothing is really sent."""

    def __init__(self):
        settings = kernels.KernelSettings(
            node="ikeja-e1", domain="ikeja", incarnation="life", secret=b"k"
        )
        self.shell = shells.Shell(kernels.Kernel(settings, random.Random(1)), clocks.ManualClock())
        self.requests = requests.Requests(self.shell)
        self.starts: list[actions.StartTask] = []
        for kind in (actions.StopTask, actions.NoteChange):
            self.shell.perform_with(kind, lambda action: None)
        self.shell.perform_with(actions.StartTask, self.starts.append)
        self.shell.perform_with(actions.AnswerJob, self.requests.answered)
        self.shell.perform_with(actions.NoteStopped, self.requests.stopped)
        change = msgspec.to_builtins(deployments.first_change([DESK], [TARGET.name]))
        self.shell.handle(events.RecordsRead(records=[(0, change)]))
        self.shell.handle(events.VmsListed(listing=vms.VmList(1, [TARGET])))
        self.shell.clock.advance(shells.PAUSE_THRESHOLD)
        self.shell.handle(events.Ticked())

    def begin(self, operation: peers.Operation, submission_id: str, body: bytes = b""):
        call = self.requests.perform(operation, "desk", submission_id, body, LONG_WAIT_MS)
        return asyncio.create_task(call)

    def submit(self):
        """Begin to submit a job; return its id and the caller that waits."""
        issued = self.shell.kernel.admissions.issue("desk", 1, self.shell.clock.now())
        (submission_id,) = issued.submission_ids
        job = messages.Submission(
            submission_id=submission_id, tasks=[messages.TaskSpec()], deadline_ms=LONG_WAIT_MS
        )
        body = messages.encoder.encode(job)
        return submission_id, self.begin(peers.Operation.SUBMIT, submission_id, body)


@pytest.fixture
async def served():
    found = Served()
    yield found
    found.shell.stop()


async def turn_loop() -> None:
    for _ in range(LOOP_TURNS):
        await asyncio.sleep(0)


@pytest.mark.promise("complete_or_failed")
async def test_a_cancellation_is_confirmed_only_when_no_start_can_begin(served):
    submission_id, submitter = served.submit()
    await turn_loop()
    cancellers = [served.begin(peers.Operation.CANCEL, submission_id) for _ in range(2)]
    await turn_loop()
    # The job is given up, so that its caller is answered at once.
    assert submitter.done()
    assert not any(canceller.done() for canceller in cancellers)
    served.shell.handle(events.StopConfirmed(lease_id=served.starts[0].lease_id))
    await turn_loop()
    replies = {task.result().code for task in (submitter, *cancellers)}
    assert replies == {results.ResultCode.CANCELLED}
    assert served.requests._stopped_by_id == {}
