import asyncio
import json
import random

import msgspec
import pytest

from chiveridge_kernel import (
    actions,
    clocks,
    events,
    kernel_parts,
    kernels,
    messages,
    peers,
    results,
    submission_ids,
    vms,
)
from chiveridge_load import deployments
from chiveridge_node import kernel_runners, request_handlers

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


class HandlerHarness:
    """A request handler on a kernel with one target; starts are recorded and not sent."""

    def __init__(self):
        settings = kernel_parts.KernelSettings(
            node="ikeja-e1", domain="ikeja", incarnation="life", secret=b"k"
        )
        self.runner = kernel_runners.KernelRunner(
            kernels.Kernel(settings, random.Random(1)), clocks.ManualClock()
        )
        self.request_handler = request_handlers.RequestHandler(self.runner)
        self.starts: list[actions.StartTask] = []
        for kind in (actions.StopTask, actions.NoteChange):
            self.runner.set_performer(kind, lambda action: None)
        self.runner.set_performer(actions.StartTask, self.starts.append)
        self.runner.set_performer(actions.AnswerJob, self.request_handler.wake_answer_waiters)
        self.runner.set_performer(actions.NoteStopped, self.request_handler.wake_stop_waiters)
        change = msgspec.to_builtins(deployments.first_change([DESK], [TARGET.name]))
        self.runner.handle(events.RecordsRead(records=[(0, change)]))
        self.runner.handle(events.VmsListed(listing=vms.VmList(1, [TARGET])))
        self.runner.clock.advance(kernel_runners.PAUSE_THRESHOLD)
        self.runner.handle(events.Ticked())

    def start_call(self, operation: peers.Operation, submission_id: str, body: bytes = b""):
        call = self.request_handler.serve(operation, "desk", submission_id, body, LONG_WAIT_MS)
        return asyncio.create_task(call)

    def submit(self):
        """Start to submit a job; return its id and the asyncio task that waits for the answer."""
        issued = self.runner.kernel.admissions.issue("desk", 1, self.runner.clock.now())
        (submission_id,) = issued.submission_ids
        job = messages.Submission(
            submission_id=submission_id, tasks=[messages.TaskSpec()], deadline_ms=LONG_WAIT_MS
        )
        body = messages.encoder.encode(job)
        return submission_id, self.start_call(peers.Operation.SUBMIT, submission_id, body)


@pytest.fixture
async def served():
    harness = HandlerHarness()
    yield harness
    harness.runner.stop()


async def run_loop_turns() -> None:
    for _ in range(LOOP_TURNS):
        await asyncio.sleep(0)


@pytest.mark.promise("complete_or_failed")
async def test_a_cancellation_is_confirmed_only_when_no_start_can_begin(served):
    submission_id, submitter = served.submit()
    await run_loop_turns()
    cancellers = [served.start_call(peers.Operation.CANCEL, submission_id) for _ in range(2)]
    await run_loop_turns()
    # A cancelled job ends at once, so its submitter has the answer already.
    assert submitter.done()
    assert not any(canceller.done() for canceller in cancellers)
    served.runner.handle(events.StopConfirmed(lease_id=served.starts[0].lease_id))
    await run_loop_turns()
    replies = {task.result().code for task in (submitter, *cancellers)}
    assert replies == {results.ResultCode.CANCELLED}
    assert served.request_handler._stop_events_by_id == {}


Code = results.ResultCode
EARLIER_INCARNATION = "0"
LATER_INCARNATION = "zzzz"


@pytest.fixture
def untouched_edge(edge):
    yield edge
    edge.check_no_side_effects()


def new_id_issued_by(edge, node: str, incarnation: str) -> str:
    """Return an id as issued by another node or by another incarnation of this one."""
    issuer = submission_ids.Issuer(node, incarnation, b"secret-of-another-life")
    return issuer.issue("desk", 1, edge.node.runner.clock.now()).submission_ids[0]


def serve_forwarded(edge, operation: peers.Operation, submission_id: str) -> peers.CallerReply:
    body = json.dumps({"submission_id": submission_id, "tasks": [{"body": 1}]}).encode()
    request = peers.CallerRequest(
        request_id=1,
        sender="ikeja-e2",
        operation=operation,
        team="desk",
        submission_id=submission_id,
        body=body if operation is peers.Operation.SUBMIT else b"",
        wait_ms=5000,
        arrived_at_ms=0,
    )
    return edge.run_on_loop(edge.node.request_handler.serve_forwarded(request))


@pytest.mark.promise("at_most_once", failures=["replaced_vm"])
@pytest.mark.promise("honest_refusal", failures=["replaced_vm"])
@pytest.mark.parametrize("operation", peers.Operation)
@pytest.mark.parametrize(
    ("name", "incarnation", "code"),
    [
        ("ikeja-e1", EARLIER_INCARNATION, Code.ISSUER_GONE),
        ("ikeja-e1", LATER_INCARNATION, Code.ISSUER_UNREACHABLE),
        ("ikeja-e9", EARLIER_INCARNATION, Code.ISSUER_UNREACHABLE),
        ("ikeja-e9", LATER_INCARNATION, Code.ISSUER_UNREACHABLE),
    ],
)
def test_an_id_of_the_previous_node_at_a_reused_address_starts_nothing(
    untouched_edge, operation, name, incarnation, code
):
    """The address was reused; the sender's list of VMs lags and still shows the previous node."""
    edge = untouched_edge
    reply = serve_forwarded(edge, operation, new_id_issued_by(edge, name, incarnation))
    assert (reply.code, reply.refused) == (code, True)
    refusal = json.loads(reply.body)
    assert refusal["ran"] == "unknown"
    assert (reply.retry_after_ms is not None) == (code is Code.ISSUER_UNREACHABLE)


@pytest.mark.promise("at_most_once", failures=["replaced_vm"])
@pytest.mark.parametrize("operation", peers.Operation)
def test_an_id_signed_with_another_secret_for_this_incarnation_starts_nothing(
    untouched_edge, operation
):
    edge = untouched_edge
    incarnation = edge.node.kernel.settings.incarnation
    reply = serve_forwarded(edge, operation, new_id_issued_by(edge, "ikeja-e1", incarnation))
    assert (reply.code, reply.refused) == (Code.UNKNOWN_SUBMISSION, True)
