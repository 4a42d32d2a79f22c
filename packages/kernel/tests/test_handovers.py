import datetime

import msgspec
import pytest

from chiveridge_kernel import (
    actions,
    answers,
    errors,
    events,
    handovers,
    ledgers,
    member_states,
    members,
    peers,
    results,
    submission_ids,
    vms,
)

CODES = results.ResultCode
TEAM = "dispatch-desk"
NOW = datetime.datetime(2026, 1, 1, tzinfo=datetime.UTC)
SECOND = datetime.timedelta(seconds=1)


def make_vm(name: str, domain: str = "ikeja", state=vms.VmState.LIVE) -> vms.Vm:
    return vms.Vm(
        name=name, role=vms.VmRole.ENTRY, domain=domain, address="127.0.0.1", port=1, state=state
    )


PEERS = [make_vm("ikeja-e2"), make_vm("ikeja-e3")]


def make_stored_answer(body: bytes = b"{}") -> answers.StoredAnswer:
    return answers.StoredAnswer(team=TEAM, code=CODES.COMPLETE, body=body)


def issue_ids(count: int) -> submission_ids.IssuedBatch:
    return submission_ids.Issuer("ikeja-e1", "life", b"secret").issue(TEAM, count, NOW)


def make_handover_parts(admitted_serials=(), kept_by_id=None, made_at=NOW) -> list[peers.Handover]:
    ledger = ledgers.SubmissionLedger()
    ledger.note_issued(range(1, 10_000), 1)
    for serial in admitted_serials:
        ledger.admit(serial)
    return handovers.make_parts(
        "ikeja-e1", "life", ledger.admitted_bitmaps(), kept_by_id or {}, made_at
    )


def make_table(parts) -> handovers.HandoverTable:
    table = handovers.HandoverTable(answers.AnswerStore())
    for part in parts:
        table.store_part(peers.decode(peers.encode(part)), NOW)
    return table


def refusal_of(table, submission_id, now=NOW):
    try:
        return table.find_answer(submission_id, TEAM, now)
    except errors.RefusedError as error:
        return error.code, error.ran


@pytest.mark.promise("honest_refusal")
def test_not_run_is_reported_only_for_ids_that_were_never_admitted():
    ids = issue_ids(5000).submission_ids
    admitted = {1, 7, 8, 4095, 4096, 4999}
    table = make_table(make_handover_parts(admitted))
    refusals_by_serial = {index + 1: refusal_of(table, issued) for index, issued in enumerate(ids)}
    unknown = {
        serial
        for serial, refusal in refusals_by_serial.items()
        if refusal[1] is not results.TaskOutcome.NOT_RUN
    }
    assert unknown == admitted
    assert {refusals_by_serial[serial] for serial in admitted} == {
        (CODES.ANSWER_NOT_KEPT, results.TaskOutcome.UNKNOWN)
    }
    assert refusals_by_serial[2] == (CODES.ISSUER_GONE, results.TaskOutcome.NOT_RUN)


@pytest.mark.promise("honest_refusal")
def test_an_incomplete_handover_refuses_no_id():
    ids = issue_ids(4).submission_ids
    body = b"x" * (handovers.MAX_PART_BYTES // 2 + 1)
    parts = make_handover_parts(
        {1, 2, 3}, {submission_id: make_stored_answer(body) for submission_id in ids[:3]}
    )
    assert [len(part.answers) for part in parts] == [1, 1, 1]
    table = make_table(parts[:2])
    assert table.find_answer(ids[0], TEAM, NOW).body == body
    assert table.find_answer(ids[2], TEAM, NOW) is table.find_answer(ids[3], TEAM, NOW) is None
    table.store_part(parts[2], NOW)
    assert table.find_answer(ids[2], TEAM, NOW).body == body
    assert refusal_of(table, ids[3]) == (CODES.ISSUER_GONE, results.TaskOutcome.NOT_RUN)


@pytest.mark.promise("honest_refusal")
def test_ids_that_expired_before_the_handover_are_reported_as_unknown():
    (expired_id,) = issue_ids(1).submission_ids
    made_at = NOW + submission_ids.ID_LIFETIME
    table = make_table(make_handover_parts(made_at=made_at))
    # The clock of this node may be behind that of the stopped node.
    for now in (made_at, made_at - SECOND):
        refusal = refusal_of(table, expired_id, now)
        assert refusal == (CODES.SUBMISSION_ID_EXPIRED, results.TaskOutcome.UNKNOWN)


def test_an_answer_is_returned_only_to_its_team():
    (submission_id,) = issue_ids(1).submission_ids
    table = make_table(make_handover_parts({1}, {submission_id: make_stored_answer()}))
    with pytest.raises(errors.RefusedError):
        table.find_answer(submission_id, "other-team", NOW)


def test_a_handover_is_dropped_when_every_id_has_expired():
    (submission_id,) = issue_ids(1).submission_ids
    table = make_table(make_handover_parts())
    later = NOW + submission_ids.ID_LIFETIME
    table.drop_expired(later)
    assert table.find_answer(submission_id, TEAM, NOW) is None


def test_an_id_of_another_incarnation_is_not_known():
    (foreign_id,) = (
        submission_ids.Issuer("ikeja-e1", "next", b"s").issue(TEAM, 1, NOW).submission_ids
    )
    assert make_table(make_handover_parts()).find_answer(foreign_id, TEAM, NOW) is None


def test_a_part_is_resent_until_it_is_confirmed():
    sender = handovers.HandoverSender(make_handover_parts(), PEERS, NOW, 3 * SECOND)
    assert [vm.name for vm, _ in sender.messages_due(NOW)] == ["ikeja-e2", "ikeja-e3"]
    assert sender.messages_due(NOW) == []
    confirm(sender, "ikeja-e2")
    later = NOW + handovers.RESEND_INTERVAL
    assert [vm.name for vm, _ in sender.messages_due(later)] == ["ikeja-e3"]
    assert not sender.is_finished(later)
    confirm(sender, "ikeja-e3")
    assert sender.is_finished(later)


def test_the_linger_is_bounded_and_short_once_one_peer_has_everything():
    unconfirmed = handovers.HandoverSender(make_handover_parts(), PEERS, NOW, 3 * SECOND)
    assert not unconfirmed.is_finished(NOW + 2.9 * SECOND)
    assert unconfirmed.is_finished(NOW + 3 * SECOND)
    confirm(unconfirmed, "ikeja-e9")
    confirmed = handovers.HandoverSender(make_handover_parts(), PEERS, NOW, 3 * SECOND)
    confirm(confirmed, "ikeja-e2")
    assert not confirmed.is_finished(NOW)
    assert confirmed.is_finished(NOW + handovers.REMAINING_PEERS_LINGER)


def confirm(sender, name: str) -> None:
    sender.confirm_part(peers.HandoverKept(sender=name, incarnation="life", part=0), NOW)


def choose_peer_names(
    listed: list[vms.Vm], **state_by_name: member_states.MemberState
) -> list[str]:
    table = members.MemberTable("ikeja-e1", "ikeja")
    table.apply_listing(vms.VmList(1, listed), NOW)
    for name, state in state_by_name.items():
        table.members_by_name[f"ikeja-{name}"].state = state
    return sorted(vm.name for vm in handovers.choose_peers(table))


def test_peers_are_chosen_in_the_domain_or_else_a_few_outside_it():
    leaving = make_vm("ikeja-e4", state=vms.VmState.LEAVING)
    remote = [make_vm(f"lekki-e{number}", "lekki") for number in (3, 1, 2)]
    own = make_vm("ikeja-e1")
    assert choose_peer_names([own, leaving, *remote, *PEERS]) == ["ikeja-e2", "ikeja-e3"]
    assert choose_peer_names(
        [own, leaving, *remote, *PEERS], e2=member_states.MemberState.DEAD
    ) == ["ikeja-e3"]
    assert choose_peer_names([own, leaving, *remote]) == ["lekki-e1", "lekki-e2"]


@pytest.mark.promise("graceful_shutdown", failures=["cut"])
def test_a_suspect_peer_is_chosen_in_addition_to_a_peer_outside_the_domain():
    remote = make_vm("lekki-e1", "lekki")
    suspect = member_states.MemberState.SUSPECT
    assert choose_peer_names([remote, *PEERS], e2=suspect) == ["ikeja-e2", "ikeja-e3"]
    assert choose_peer_names([remote, *PEERS], e2=suspect, e3=suspect) == [
        "ikeja-e2",
        "ikeja-e3",
        "lekki-e1",
    ]


@pytest.mark.promise("graceful_shutdown", failures=["silent_connection"])
def test_the_connection_to_a_peer_that_confirms_nothing_is_replaced():
    sender = handovers.HandoverSender(make_handover_parts(), PEERS, NOW, 3 * SECOND)
    assert sender.pop_silent_peers(NOW) == []
    confirm(sender, "ikeja-e2")
    later = NOW + handovers.RECONNECT_INTERVAL
    assert sender.pop_silent_peers(later) == [PEERS[1]]
    assert sender.pop_silent_peers(later) == []
    assert sender.pop_silent_peers(later + handovers.RECONNECT_INTERVAL) == [PEERS[1]]


@pytest.mark.promise("graceful_shutdown", failures=["replaced_vm"])
def test_a_replaced_peer_gets_every_part_again():
    sender = handovers.HandoverSender(make_handover_parts(), PEERS, NOW, 3 * SECOND)
    sender.messages_due(NOW)
    confirm(sender, "ikeja-e2")
    replacement = msgspec.structs.replace(PEERS[0], port=2)
    sender.set_peers([replacement, PEERS[1]])
    later = NOW + handovers.RESEND_INTERVAL
    assert [vm for vm, _ in sender.messages_due(later)] == [replacement, PEERS[1]]
    confirm(sender, "ikeja-e3")
    assert not sender.is_finished(later)


@pytest.mark.promise("graceful_shutdown")
def test_a_node_exits_only_after_a_peer_has_its_answers(driven):
    driven.list_targets([*driven.targets_by_name.values(), *PEERS])
    submission_id = driven.submit()
    driven.handle(events.DrainRequested())
    driven.report(driven.starts()[0].lease_id, events.LeaseOutcome.SUCCEEDED)
    sent = [
        action
        for action in driven.of(actions.SendToPeer)
        if isinstance(action.message, peers.Handover)
    ]
    assert [action.peer.name for action in sent] == ["ikeja-e2", "ikeja-e3"]
    assert sent[0].message.answers[0].submission_id == submission_id
    assert not driven.of(actions.Exit)
    for vm in PEERS:
        done = peers.HandoverKept(sender=vm.name, incarnation="first-life", part=0)
        driven.handle(events.PeerMessageReceived(message=done))
    assert driven.of(actions.Exit)


@pytest.mark.promise("graceful_shutdown")
def test_a_forced_stop_fails_jobs_and_stops_their_tasks(driven):
    driven.submit()
    driven.handle(events.DrainRequested())
    assert not driven.of(actions.AnswerJob)
    driven.handle(events.DrainRequested(forced=True))
    assert driven.answer().code is CODES.NODE_STOPPED
    assert len(driven.of(actions.StopTask)) == 1
    assert driven.of(actions.Exit)


def test_a_node_confirms_a_handover_part_that_it_keeps(driven):
    (part,) = make_handover_parts()
    driven.handle(events.PeerMessageReceived(message=part, route=b"way back"))
    (sent,) = driven.of(actions.ReplyToPeer)
    assert sent.route == b"way back"
    assert sent.message == peers.HandoverKept(sender="ikeja-e1", incarnation="life", part=0)
