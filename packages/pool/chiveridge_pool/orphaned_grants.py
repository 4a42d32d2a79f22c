"""Runs on targets that this node gave up; they may continue until their leases expire."""

import datetime
from collections.abc import Container, Iterator

import msgspec

from chiveridge_pool import (
    attempts,
    end_proofs,
    events,
    grants,
    identifiers,
    run_ends,
    runs,
    timings,
)

_OUTCOMES = frozenset({runs.RunEnd.DONE, runs.RunEnd.FAILED})
"""Ends that say something of the task; the others follow from the loss of its target."""


class _Orphan(msgspec.Struct, frozen=True):
    """A grant whose target is not owned any more, and when its run ends on which proof."""

    grant: grants.Grant
    target: identifiers.TargetId
    ends_at: datetime.datetime
    how: runs.RunEnd
    proof: end_proofs.EndProof


class OrphanedGrants:
    """Grants of targets no longer owned here, each with the time by which its run has ended."""

    def __init__(self, ends: run_ends.RunEnds):
        self._ends = ends
        self._by_grant: dict[identifiers.GrantId, _Orphan] = {}

    def __contains__(self, grant: identifiers.GrantId) -> bool:
        return grant in self._by_grant

    def add(
        self,
        grant: grants.Grant,
        target: identifiers.TargetId,
        ends_at: datetime.datetime,
        how: runs.RunEnd,
        proof: end_proofs.EndProof,
    ) -> None:
        """Add a grant of a target that was given up; ``how`` is reported at ``ends_at``.

        ``proof`` is what shows by then that its run has ended.
        """
        self._by_grant[grant.id] = _Orphan(grant, target, ends_at, how, proof)

    def in_progress(self) -> Iterator[grants.Grant]:
        """Yield the grants whose runs may still be running."""
        for orphan in self._by_grant.values():
            yield orphan.grant

    def by_node(self) -> dict[identifiers.NodeId, list[identifiers.GrantId]]:
        """Return, by node, the grants whose runs may still be running."""
        by_node: dict[identifiers.NodeId, list[identifiers.GrantId]] = {}
        for grant, orphan in self._by_grant.items():
            by_node.setdefault(orphan.grant.node, []).append(grant)
        return by_node

    def record_start_reply(self, event: events.StartReplied, now: datetime.datetime) -> None:
        """Record the reply to an attempt that was on its way as its target was given up."""
        orphan = self._by_grant.get(event.grant)
        if orphan is None:
            return
        verdict = orphan.grant.attempts.record(event.attempt, event.failure, now)
        if verdict is attempts.Verdict.NOT_RUN and orphan.grant.running_since is None:
            self._end(orphan, runs.RunEnd.REFUSED, end_proofs.EndProof.ALL_REJECTED, now)
        elif not orphan.grant.attempts.may_be_executed(now):
            ends_at = min(orphan.ends_at, now + timings.LEASE_EXPIRED_AFTER)
            proof = end_proofs.EndProof.LEASE_EXPIRED
            self.add(orphan.grant, orphan.target, ends_at, orphan.how, proof)

    def end_listed(
        self,
        target: identifiers.TargetId,
        key: tuple[identifiers.TaskName, identifiers.RunNumber],
        how: runs.RunEnd,
        now: datetime.datetime,
    ) -> None:
        """Report the end of a run that its target lists after it was claimed again."""
        for orphan in self._of_target(target):
            if orphan.grant.key == key:
                end = how if how in _OUTCOMES else orphan.how
                self._end(orphan, end, end_proofs.EndProof.LISTED, now)

    def end_fenced(
        self,
        target: identifiers.TargetId,
        handed_back: Container[identifiers.GrantId],
        now: datetime.datetime,
    ) -> None:
        """End the runs of a target that has accepted a higher token and runs nothing unknown.

        Starts that are still on their way carry a lower token. Runs that were ``handed_back`` with
        the target are known.
        """
        for orphan in self._of_target(target):
            if orphan.grant.id not in handed_back:
                self._end(orphan, orphan.how, end_proofs.EndProof.FENCED_UNLISTED, now)

    def tick(self, now: datetime.datetime) -> None:
        """Report the ends of runs to their jobs' nodes when their leases have expired."""
        for orphan in list(self._by_grant.values()):
            if now >= orphan.ends_at:
                self._end(orphan, orphan.how, orphan.proof, now)

    def _of_target(self, target: identifiers.TargetId) -> list[_Orphan]:
        return [orphan for orphan in self._by_grant.values() if orphan.target == target]

    def _end(
        self,
        orphan: _Orphan,
        how: runs.RunEnd,
        proof: end_proofs.EndProof,
        now: datetime.datetime,
    ) -> None:
        """Report the end of a run, or keep it until no unanswered attempt can be executed."""
        grant, target = orphan.grant, orphan.target
        if self._ends.report(grant, target, how, proof, "its target was given up", now):
            del self._by_grant[grant.id]
        else:
            ends_at = grant.attempts.executable_until(now) + timings.LEASE_EXPIRED_AFTER
            self.add(grant, target, ends_at, orphan.how, end_proofs.EndProof.LEASE_EXPIRED)
