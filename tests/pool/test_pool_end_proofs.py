"""A run ends only on a proof that covers its unanswered attempts, and the log names the proof."""

import datetime
import types

import pools
import pytest

from chiveridge_load import pool_models
from chiveridge_node import decision_logs
from chiveridge_pool import (
    actions,
    attempts,
    end_proofs,
    events,
    grants,
    identifiers,
    messages,
    notes,
    orphaned_grants,
    outboxes,
    resources,
    run_ends,
    runs,
    timings,
)

MS = datetime.timedelta(milliseconds=1)
NOW = pool_models.EPOCH
Proof = end_proofs.EndProof

ANSWERED_ATTEMPTS_ONLY = {
    Proof.ALL_REJECTED,
    Proof.OUTDATED,
    Proof.INCARNATION_ENDED,
    Proof.LEASE_EXPIRED,
    Proof.OWNER_SILENT,
}
NO_PROOF = {Proof.RETRY_DUE, Proof.OWNER_LOST_EARLY}


def _grant(sent=1, *, is_unanswered=True, now=NOW):
    grant = grants.Grant(
        identifiers.GrantId("owner-1"),
        identifiers.NodeId("node"),
        identifiers.JobId("a" * 16),
        0,
        identifiers.QueueName("queue"),
        resources.ZERO,
        100 * MS,
        now,
    )
    grant.task, grant.run = identifiers.TaskName(f"{'a' * 16}.0.0.0"), identifiers.RunNumber(1)
    grant.state = runs.GrantState.STARTING
    for _ in range(sent):
        number = grant.attempts.send(now)
        failure = events.Failure.TIMEOUT if is_unanswered else events.Failure.NO_ROOM
        grant.attempts.record(number, failure, now + 60 * MS)
    return grant


class _Outbox(outboxes.Outbox):
    """Keeps the ends and the notes."""

    def __init__(self):
        super().__init__(None)
        self.ends = []

    def queue_end(self, node, grant, how, proof):
        self.ends.append((grant, how, proof))

    def notes(self):
        return [action for action in self.take_actions() if isinstance(action, actions.Note)]


def _report(grant, proof, how=runs.RunEnd.LOST, now=NOW + 100 * MS):
    outbox = _Outbox()
    was_reported = run_ends.RunEnds(outbox).report(grant, "t1", how, proof, "reason", now)
    assert bool(outbox.ends) == was_reported
    return was_reported, outbox.notes()


# Which proofs suffice


@pytest.mark.parametrize("proof", Proof)
def test_every_proof_ends_a_run_without_an_unanswered_attempt(proof):
    was_reported, logged = _report(_grant(is_unanswered=False), proof)
    assert was_reported
    assert logged[-1].fields["proof"] == proof.value


@pytest.mark.parametrize("proof", Proof)
def test_a_run_with_an_unanswered_attempt_ends_only_on_a_proof_that_covers_it(proof):
    was_reported, logged = _report(_grant(), proof)
    assert was_reported == (proof not in ANSWERED_ATTEMPTS_ONLY)
    assert bool(logged) == was_reported


@pytest.mark.parametrize("proof", sorted(ANSWERED_ATTEMPTS_ONLY, key=lambda proof: proof.value))
def test_a_proof_suffices_once_no_attempt_can_run_any_more(proof):
    ended_by = NOW + timings.LATE_ORDER_TIME + timings.LEASE_EXPIRED_AFTER
    assert not _report(_grant(), proof, now=ended_by - 1 * MS)[0]
    assert _report(_grant(), proof, now=ended_by)[0]


@pytest.mark.parametrize("proof", Proof)
def test_ends_without_proof_are_told_apart(proof):
    assert end_proofs.is_proven(proof) == (proof not in NO_PROOF)


def test_a_run_whose_proof_does_not_suffice_is_stopped_and_keeps_its_capacity():
    model = pools.pool(nodes_per_domain=1, targets_per_domain=1, domains="a")
    target_owner = pools.node(model, 1).kernel.target_owner
    (owned,) = target_owner.owned_by_target.values()
    now = model.simulation.now
    grant = _grant(now=now)
    owned.add(grant)
    end = runs.RunEnd.REFUSED
    target_owner.end_grant(owned, grant, end, Proof.ALL_REJECTED, "the target has no room", now)
    assert grant.state is runs.GrantState.STOPPING
    assert grant.id in owned.grants_by_id
    target_owner.end_grant(owned, grant, end, Proof.STOPPED, "it never ran", now)
    assert grant.id not in owned.grants_by_id


def test_a_run_of_a_target_that_was_given_up_waits_for_its_unanswered_attempts():
    model = pools.pool(nodes_per_domain=1, targets_per_domain=1, domains="a")
    orphaned = pools.node(model, 1).kernel.target_owner.orphaned_grants
    grant = _grant(now=NOW)
    orphaned.add(grant, "t9", NOW + 1 * MS, runs.RunEnd.LOST, Proof.LEASE_EXPIRED)
    orphaned.tick(NOW + 1 * MS)
    assert grant.id in orphaned
    orphaned.tick(NOW + timings.LATE_ORDER_TIME + timings.LEASE_EXPIRED_AFTER - 1 * MS)
    assert grant.id in orphaned
    orphaned.tick(NOW + timings.LATE_ORDER_TIME + timings.LEASE_EXPIRED_AFTER)
    assert grant.id not in orphaned


def test_a_job_sent_to_a_node_that_tells_no_proof_goes_on():
    """Nodes of a version that reports no proofs, during an update."""
    model = pools.pool(nodes_per_domain=1, targets_per_domain=2, domains="a")
    node = pools.node(model, 1)
    caller = model.submit(node, pools.job("a" * 16, work_ms=200.0))
    model.run(seconds=0.05)
    (job,) = node.kernel.coordinator.jobs_by_id.values()
    (grant,) = job.runs_by_grant
    ended = messages.RunsEnded(sender="old", ends=((grant, "refused"),))
    decoded = messages.decode(messages.encode(ended))
    node.handle(events.MessageReceived(message=decoded))
    model.run(seconds=2)
    assert model.answers_by_caller[caller].verdict is actions.Verdict.COMPLETE
    assert _lost(model)[0]["proof"] is None


# The proofs as they occur


def _fields(model, event):
    return [note.fields for note in model.notes if note.event is event]


def _lost(model):
    return _fields(model, notes.NoteEvent.RUN_LOST)


def _ended(model):
    return _fields(model, notes.NoteEvent.RUN_ENDED)


def _submit(model, work_ms=900.0, node=1):
    request = pools.job("a" * 16, 1, work_ms, caller_timeout=datetime.timedelta(seconds=9))
    return model.submit(pools.node(model, node), request)


def _lose_first_start(model, on_lost=lambda target, action: None):
    lost = []

    def delays(target, action):
        if lost or not isinstance(action, actions.StartRun):
            return False
        lost.append(target)
        on_lost(target, action)
        return True

    model.delays = delays
    return lost


def _small_pool(**fields):
    return pools.pool(nodes_per_domain=1, targets_per_domain=2, domains="a", **fields)


def test_a_start_that_every_target_rejects_names_the_proof_and_the_next_run():
    model = _small_pool()
    for target in model.targets_by_id.values():
        target.rejects_starts_with = events.Failure.NO_ROOM
    _submit(model)
    model.run(seconds=0.05)
    assert _ended(model)[0]["proof"] == Proof.ALL_REJECTED.value
    first = _lost(model)[0]
    assert (first["proof"], first["run"], first["next_run"]) == (Proof.ALL_REJECTED.value, 1, 2)


def test_a_task_that_fails_names_the_listed_end():
    model = _small_pool()
    _submit(model)
    model.run(seconds=0.2)
    for target in model.targets_by_id.values():
        for key, run in list(target._running.items()):
            target._end_if_current(key, run, "failed")
    model.run(seconds=0.5)
    assert [fields["proof"] for fields in _lost(model)] == [Proof.LISTED.value]


def test_a_run_whose_second_attempt_is_rejected_ends_on_the_stop():
    model = _small_pool()

    def reject_the_next(target, action):
        target.rejects_starts_with = events.Failure.UNHEALTHY

    _lose_first_start(model, reject_the_next)
    _submit(model)
    model.run(seconds=1)
    assert [fields["proof"] for fields in _ended(model)] == [Proof.STOPPED.value]
    assert [fields["proof"] for fields in _lost(model)] == [Proof.STOPPED.value]


def test_a_run_in_an_incarnation_that_is_over_names_it():
    model = _small_pool()
    _submit(model)
    model.run(seconds=0.4)
    (target,) = [target for target in model.targets_by_id.values() if target._running]
    target.crash()
    model.run(seconds=0.5)
    assert [fields["proof"] for fields in _lost(model)] == [Proof.INCARNATION_ENDED.value]


def test_a_run_on_a_silent_target_ends_with_its_lease():
    model = _small_pool()
    _submit(model)
    model.run(seconds=0.4)
    for target in model.targets_by_id.values():
        target.is_dark = bool(target._running)
    model.run(seconds=2)
    assert [fields["proof"] for fields in _lost(model)] == [Proof.LEASE_EXPIRED.value]


def test_a_task_that_is_retried_for_its_deadline_is_logged_as_without_proof():
    model = _small_pool()
    struck = []

    def lose_starts_until_silent(target, action):
        is_lost = isinstance(action, actions.StartRun) and target in (struck or [target])
        if is_lost and not struck:
            struck.append(target)
            model.simulation.call_later(200 * MS, lambda: setattr(target, "is_dark", True))
        return is_lost

    model.delays = lose_starts_until_silent
    _submit(model)
    model.run(seconds=9)
    (fields,) = _fields(model, notes.NoteEvent.RUN_ATTEMPTS)
    assert (fields["proof"], fields["is_proven"]) == (Proof.RETRY_DUE.value, False)
    assert fields["unanswered"] == len(fields["attempts"]) + fields["unlisted"] > 1
    assert [fields["proof"] for fields in _lost(model)] == [Proof.RETRY_DUE.value]


def _lose_an_owner(model, after_seconds):
    """Run a task on a target of another node, and kill that node."""
    owner, other = pools.node(model, 1), pools.node(model, 2)
    (near,) = other.kernel.target_owner.owned_tokens()
    model.targets_by_id[near].rejects_starts_with = events.Failure.NO_ROOM
    _submit(model, node=2)
    model.run(seconds=after_seconds)
    owner.kill()
    model.run(seconds=3)


@pytest.mark.parametrize(
    ("after_seconds", "proofs"),
    [
        (0.05, {Proof.OWNER_LOST_EARLY.value, Proof.OTHER_OWNER_UNLISTED.value}),
        (0.5, {Proof.OWNER_SILENT.value, Proof.OTHER_OWNER_UNLISTED.value}),
    ],
)
def test_a_run_that_is_lost_with_its_owner_tells_whether_the_owner_could_tell(
    after_seconds, proofs
):
    model = pools.pool(nodes_per_domain=1, targets_per_domain=1, domains="ab")
    _lose_an_owner(model, after_seconds)
    lost = {fields["proof"] for fields in _lost(model)} - {Proof.ALL_REJECTED.value}
    assert lost
    assert lost <= proofs


# The line of the attempts


def test_an_ordinary_run_logs_no_attempts():
    model = _small_pool()
    caller = _submit(model, work_ms=100.0)
    model.run(seconds=1)
    assert model.answers_by_caller[caller].verdict is actions.Verdict.COMPLETE
    assert _fields(model, notes.NoteEvent.RUN_ATTEMPTS) == []


def test_a_run_that_ends_done_after_two_attempts_logs_them():
    model = _small_pool()
    _lose_first_start(model)
    _submit(model, work_ms=100.0)
    model.run(seconds=1)
    (fields,) = _fields(model, notes.NoteEvent.RUN_ATTEMPTS)
    first, second = fields["attempts"]
    assert first == (1, 0.0, "timeout", 60.0)
    # Sent once a hold has told that the first one is not running, a round trip after it timed out.
    assert (second[:3], second[3] > 0) == ((2, 60.4, attempts.ACCEPTED), True)
    assert (fields["how"], fields["proof"]) == ("done", Proof.LISTED.value)
    assert (fields["unanswered"], fields["unlisted"], fields["stops"]) == (1, 0, 0)


def test_the_attempts_of_a_stopped_run_tell_how_its_stops_were_answered():
    model = _small_pool()

    def reject_the_next(target, action):
        target.rejects_starts_with = events.Failure.UNHEALTHY

    _lose_first_start(model, reject_the_next)
    _submit(model)
    model.run(seconds=1)
    (fields,) = _fields(model, notes.NoteEvent.RUN_ATTEMPTS)
    assert [row[2] for row in fields["attempts"]] == ["timeout", "unhealthy"]
    assert (fields["stops"], fields["stop_answer"]) == (1, attempts.ACCEPTED)


def test_the_line_of_the_attempts_is_bounded():
    grant = _grant(sent=30)
    _, (line, _) = _report(grant, Proof.STOPPED, runs.RunEnd.STOPPED)
    assert len(line.fields["attempts"]) == attempts.MAX_LOGGED_ATTEMPTS
    assert line.fields["unlisted"] == 30 - attempts.MAX_LOGGED_ATTEMPTS
    written = bytearray()
    log = decision_logs.DecisionLog("n", lambda data: written.extend(data) or len(data))
    log.record_decision(line)
    log.flush()
    assert 0 < len(written) < 1000


def test_an_orphan_whose_last_attempt_was_executed_does_not_end_before_its_lease():
    """Guards against taking the reply to an attempt for the end of what it has started."""
    reported = []
    ends = types.SimpleNamespace(report=lambda grant, *_: not reported.append(grant))
    orphaned = orphaned_grants.OrphanedGrants(ends)
    grant = _grant(sent=0)
    number = grant.attempts.send(NOW)
    ends_at = NOW + timings.LATE_ORDER_TIME
    target = identifiers.TargetId("t1")
    orphaned.add(grant, target, ends_at, runs.RunEnd.LOST, Proof.LEASE_EXPIRED)
    reply = events.StartReplied(
        target=target, grant=grant.id, token=identifiers.FencingToken(1), attempt=number
    )
    orphaned.record_start_reply(reply, NOW)
    orphaned.tick(NOW + timings.LEASE)
    assert reported == []
    orphaned.tick(NOW + timings.LEASE_EXPIRED_AFTER)
    assert reported == [grant]
