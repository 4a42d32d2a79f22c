"""Tracks the runs that this node has asked owners to start, until their ends are known."""

import datetime
from collections.abc import Callable, Iterable

from chiveridge_kernel import clocks
from chiveridge_pool import (
    deadlines,
    end_proofs,
    grants,
    identifiers,
    jobs,
    members,
    messages,
    notes,
    outboxes,
    runs,
    timings,
)

RunEndCallback = Callable[[jobs.Run, runs.RunEnd, datetime.datetime], None]
"""Called with a run that has ended, how it ended and when this node learned of it."""

GrantedTask = tuple[jobs.Task, identifiers.GrantId, identifiers.TargetId, identifiers.FencingToken]
"""A task with the grant, target and fencing token under which it is to run."""


_UNANSWERED_TOLD_WITHIN = timings.ORDER_TIMEOUT + timings.ROUND_INTERVAL
"""Time after a request to start a run by which its owner has told of a first attempt in vain."""


class Placements:
    """All runs that this node has started and whose ends it does not know yet."""

    def __init__(self, table: members.Membership, outbox: outboxes.Outbox, on_end: RunEndCallback):
        self._members = table
        self._outbox = outbox
        self._on_end = on_end
        self._own_id = table.own_id
        self._sequence_by_owner: dict[identifiers.NodeId, int] = {}
        self._runs_by_grant: dict[identifiers.GrantId, jobs.Run] = {}

    def start(
        self,
        job: jobs.Job,
        owner: identifiers.NodeId,
        granted_tasks: list[GrantedTask],
        now: datetime.datetime,
        *,
        is_isolated: bool = False,
    ) -> None:
        """Ask an owner to start tasks under its grants; no other runs beside isolated ones."""
        sequence = self._sequence_by_owner.get(owner, 0) + 1
        self._sequence_by_owner[owner] = sequence
        run_rows = []
        for task, grant, target, token in granted_tasks:
            task.run_number += 1
            run = jobs.Run(
                job, task, grant, owner, target, token, sequence, now, is_isolated=is_isolated
            )
            job.runs_by_grant[grant] = run
            self._runs_by_grant[grant] = run
            run_rows.append((grant, job.task_name(task), identifiers.RunNumber(task.run_number)))
        message = messages.StartRuns(
            sender=self._own_id,
            job=job.request.id,
            sequence=sequence,
            spec=job.request.spec,
            runs=tuple(run_rows),
            retry_slack_ms=clocks.to_ms(deadlines.retry_slack(job, now)),
        )
        self._outbox.send(owner, message)

    def owners(self) -> set[identifiers.NodeId]:
        """Return the owners of the targets with runs of this node."""
        return {run.owner for run in self._runs_by_grant.values()}

    def stop(self, stopping: list[jobs.Run], now: datetime.datetime) -> None:
        """Ask the owners to stop runs; each run is tracked until its end is known."""
        by_owner: dict[identifiers.NodeId, list[identifiers.GrantId]] = {}
        for run in stopping:
            run.stopped_at = now
            by_owner.setdefault(run.owner, []).append(run.grant)
        for owner, stopped_grants in by_owner.items():
            stop = messages.StopRuns(sender=self._own_id, grants=tuple(stopped_grants))
            self._outbox.send(owner, stop)

    def handle_ended(self, message: messages.RunsEnded, now: datetime.datetime) -> None:
        """Handle the ends of runs that an owner reports."""
        for grant, how in message.ends:
            run = self._runs_by_grant.get(grant)
            if run is not None:
                proof = end_proofs.PROOF_BY_VALUE.get(message.proofs.get(grant, ""))
                self._end(run, runs.END_BY_VALUE.get(how, runs.RunEnd.LOST), proof, now)

    def _end_unreported(
        self, run: jobs.Run, proof: end_proofs.EndProof, now: datetime.datetime
    ) -> None:
        """End a run whose owner has not reported its end, if the proof suffices."""
        until = run.executable_until
        may_run = until is not None and now < until + timings.LEASE_EXPIRED_AFTER
        if end_proofs.may_end(proof, may_run=may_run):
            self._end(run, runs.RunEnd.LOST, proof, now)

    def _end(
        self,
        run: jobs.Run,
        how: runs.RunEnd,
        proof: end_proofs.EndProof | None,
        now: datetime.datetime,
    ) -> None:
        run.end_proof = proof
        del self._runs_by_grant[run.grant]
        del run.job.runs_by_grant[run.grant]
        self._on_end(run, how, now)

    def handle_unanswered(self, message: messages.StartsUnanswered, now: datetime.datetime) -> None:
        """Record that the starts of runs got no reply and may be executed for some time."""
        until = now + datetime.timedelta(milliseconds=message.executable_for_ms)
        for grant in message.grants:
            run = self._runs_by_grant.get(grant)
            if run is not None:
                run.executable_until = until

    def handle_moved(self, message: messages.OwnerChanged, now: datetime.datetime) -> None:
        """Record the new owner of runs whose target was handed over."""
        for grant in message.grants:
            run = self._runs_by_grant.get(grant)
            if run is not None:
                self._outbox.note(
                    notes.NoteEvent.RUN_MOVED,
                    job=run.job.request.id,
                    target=run.target,
                    owner=message.owner,
                )
                run.owner = message.owner
                run.moved_at = now

    def reconcile(
        self, heartbeat: messages.Heartbeat, owner: members.Member, now: datetime.datetime
    ) -> None:
        """Reconcile the runs that an owner lists in a heartbeat with those tracked here.

        Runs that only this node knows are checked for loss; runs that only the owner knows are
        stopped.
        """
        if heartbeat.recipient != self._own_id or heartbeat.state_number != owner.state_number:
            return
        listed = dict.fromkeys(
            grants.full_id(heartbeat.sender, run) for run in heartbeat.grants_in_use
        )
        for run in list(self._runs_by_grant.values()):
            if run.grant in listed:
                run.owner = heartbeat.sender
                run.listed_at = now
                run.moved_at = None
                run.token = owner.owned_tokens.get(run.target, run.token)
            elif self._is_fenced_off(run, owner, now):
                self._end_unreported(run, end_proofs.EndProof.OTHER_OWNER_UNLISTED, now)
            elif run.owner == heartbeat.sender:
                self._check_unlisted(run, heartbeat, owner, now)
        self._stop_unknown(listed, heartbeat.sender)

    def reconcile_own(self, listed: list[identifiers.GrantId], now: datetime.datetime) -> None:
        """Reconcile the runs on targets owned by this node itself, which hears no own heartbeats.

        ``listed`` are the grants of this node's jobs that it knows as owner.
        """
        known = set(listed)
        for run in list(self._runs_by_grant.values()):
            if run.grant in known:
                run.owner = self._own_id
                run.listed_at = now
                run.moved_at = None
            elif run.owner == self._own_id:
                self._check_moved(run, now)
        self._stop_unknown(listed, self._own_id)

    def _stop_unknown(
        self, listed: Iterable[identifiers.GrantId], owner: identifiers.NodeId
    ) -> None:
        """Ask an owner to stop runs that it lists and this node does not know."""
        unknown_grants = tuple(grant for grant in listed if grant not in self._runs_by_grant)
        if unknown_grants:
            stop = messages.StopRuns(sender=self._own_id, grants=unknown_grants)
            self._outbox.send(owner, stop)

    def _is_fenced_off(self, run: jobs.Run, owner: members.Member, now: datetime.datetime) -> bool:
        """Tell whether the target is owned under a newer token, so that an unlisted run has ended.

        While its own owner lists the run, the newer token may stem from an earlier incarnation of
        the target.
        """
        if owner.owned_tokens.get(run.target, 0) <= run.token:
            return False
        return now - run.listed_at > timings.DEAD_AFTER

    def _check_unlisted(
        self,
        run: jobs.Run,
        heartbeat: messages.Heartbeat,
        owner: members.Member,
        now: datetime.datetime,
    ) -> None:
        if run.moved_at is None and run.target not in owner.owned_tokens:
            # The target may have been handed over with the run, and the OwnerChanged message lost.
            run.moved_at = now
        if run.moved_at is not None:
            self._check_moved(run, now)
        elif run.sequence <= heartbeat.last_start_sequence:
            self._end_unreported(run, end_proofs.EndProof.OWNER_UNLISTED, now)
        elif run.stopped_at is None and now - run.started_at > timings.START_RETRY_TIMEOUT:
            # The start message was probably lost; an owner that does not know the run replies so.
            self.stop([run], now)

    def _check_moved(self, run: jobs.Run, now: datetime.datetime) -> None:
        """End a run that its new owner has not listed for so long that its lease has expired."""
        if run.moved_at is None:
            run.moved_at = now
        elif now >= _ends_without_owner_at(run, run.moved_at):
            self._end_unreported(run, self._proof_of_silence(run), now)

    def tick(self, now: datetime.datetime) -> None:
        """End the runs of lost owners, and repeat stops that are not confirmed yet."""
        for run in list(self._runs_by_grant.values()):
            if self._is_owner_lost(run, now):
                self._end_unreported(run, self._proof_of_silence(run), now)
            elif run.stopped_at is not None and now - run.stopped_at > timings.STOP_INTERVAL:
                self.stop([run], now)

    def _is_owner_lost(self, run: jobs.Run, now: datetime.datetime) -> bool:
        """Tell whether an owner has been silent for so long that its leases have expired."""
        if run.owner == self._own_id or self._members.find_live(run.owner, now) is not None:
            return False
        heard = self._members.heard_by_id.get(run.owner, run.started_at)
        owned_at = run.moved_at or run.started_at
        return now >= _ends_without_owner_at(run, max(heard, owned_at))

    def _proof_of_silence(self, run: jobs.Run) -> end_proofs.EndProof:
        """Return what the silence of an owner proves of a run that it had to start."""
        if run.owner == self._own_id or run.executable_until is not None:
            return end_proofs.EndProof.OWNER_SILENT
        heard = self._members.heard_by_id.get(run.owner, run.started_at)
        if heard - run.started_at >= _UNANSWERED_TOLD_WITHIN:
            return end_proofs.EndProof.OWNER_SILENT
        return end_proofs.EndProof.OWNER_LOST_EARLY

    def log_requeue(self, run: jobs.Run, how: runs.RunEnd, now: datetime.datetime) -> None:
        """Log why a task has to run again, and how long ago its owner was last heard."""
        heard = self._members.heard_by_id.get(run.owner)
        self._outbox.note(
            notes.NoteEvent.RUN_LOST,
            job=run.job.request.id,
            task=run.job.task_name(run.task),
            run=run.number,
            next_run=run.task.run_number + 1,
            target=run.target,
            owner=run.owner,
            how=how.value,
            proof=None if run.end_proof is None else run.end_proof.value,
            is_proven=None if run.end_proof is None else end_proofs.is_proven(run.end_proof),
            ran_ms=notes.to_ms(now - run.started_at),
            owner_heard_ms_ago=None if heard is None else notes.to_ms(now - heard),
            failed_attempts=run.task.attempts,
        )


def _ends_without_owner_at(run: jobs.Run, silent_since: datetime.datetime) -> datetime.datetime:
    """Return by when a run has ended whose owner is silent, or no longer knows it."""
    ends_at = silent_since + timings.OWNER_LOST_AFTER
    if run.executable_until is None:
        return ends_at
    return max(ends_at, run.executable_until + timings.LEASE_EXPIRED_AFTER)
