"""Requests that other nodes forward here with ids that this incarnation did not issue."""

import json

import pytest

from chiveridge_kernel import peers, results, submissions

Code = results.ResultCode
EARLIER = "0"
LATER = "zzzz"


@pytest.fixture(autouse=True)
def _untouched(edge):
    yield
    edge.check_untouched()


def issued_by(edge, node: str, incarnation: str) -> str:
    """Return an id as another node, or another incarnation of this one, would issue it."""
    issuer = submissions.Issuer(node, incarnation, b"secret-of-another-life")
    return issuer.issue("desk", 1, edge.node.shell.clock.now()).submission_ids[0]


def forward(edge, operation: peers.Operation, submission_id: str) -> peers.CallerReply:
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
    return edge._on_loop(edge.node.requests.serve_peer(request))


@pytest.mark.promise("at_most_once", failures=["replaced_vm"])
@pytest.mark.promise("honest_refusal", failures=["replaced_vm"])
@pytest.mark.parametrize("operation", peers.Operation)
@pytest.mark.parametrize(
    ("name", "incarnation", "code"),
    [
        ("ikeja-e1", EARLIER, Code.ISSUER_GONE),
        ("ikeja-e1", LATER, Code.ISSUER_UNREACHABLE),
        ("ikeja-e9", EARLIER, Code.ISSUER_UNREACHABLE),
        ("ikeja-e9", LATER, Code.ISSUER_UNREACHABLE),
    ],
)
def test_an_id_of_the_node_that_had_this_address_starts_nothing(
    edge, operation, name, incarnation, code
):
    """The address was recycled: the sender's list of VMs lags, and still shows the old node."""
    reply = forward(edge, operation, issued_by(edge, name, incarnation))
    assert (reply.code, reply.refused) == (code, True)
    refusal = json.loads(reply.body)
    assert refusal["ran"] == "unknown"
    assert (reply.retry_after_ms is not None) == (code is Code.ISSUER_UNREACHABLE)


@pytest.mark.promise("at_most_once", failures=["replaced_vm"])
@pytest.mark.parametrize("operation", peers.Operation)
def test_an_id_that_another_life_signed_for_this_incarnation_starts_nothing(edge, operation):
    incarnation = edge.node.kernel.settings.incarnation
    reply = forward(edge, operation, issued_by(edge, "ikeja-e1", incarnation))
    assert (reply.code, reply.refused) == (Code.UNKNOWN_SUBMISSION, True)
