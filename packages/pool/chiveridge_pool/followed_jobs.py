"""Deduplicates jobs submitted to several nodes: one node leads a job, the others follow it.

A follower holds its callers' requests open and asks the leader for the answer.
"""

import datetime
from typing import TYPE_CHECKING

import msgspec

from chiveridge_kernel import clocks
from chiveridge_pool import (
    actions,
    deadlines,
    events,
    identifiers,
    jobs,
    members,
    messages,
    notes,
    outboxes,
    timings,
)

if TYPE_CHECKING:
    from chiveridge_pool import coordinators


class FollowedJob:
    """A job that another node leads, with the callers that wait for its answer here."""

    def __init__(
        self, event: events.JobSubmitted, leader: identifiers.NodeId, now: datetime.datetime
    ):
        self.request = event.job
        self.callers = {event.caller}
        self.leader = leader
        self.arrived_at = now
        self.deadline = now + event.job.caller_timeout
        self.follow_sent_at = now

    def to_submissions(self, now: datetime.datetime) -> list[events.JobSubmitted]:
        """Return a submission for each caller, with the remaining time that it waits."""
        caller_timeout = max(self.deadline - now, datetime.timedelta())
        request = msgspec.structs.replace(self.request, caller_timeout=caller_timeout)
        return [
            events.JobSubmitted(caller=caller, job=request, former_leader=self.leader)
            for caller in self.callers
        ]


class FollowedJobs:
    """Both sides of the protocol: jobs followed here, and followers of the jobs led here."""

    def __init__(
        self,
        table: members.Membership,
        outbox: outboxes.Outbox,
        coordinator: "coordinators.Coordinator",
    ):
        self._members = table
        self._outbox = outbox
        self._coordinator = coordinator
        self._by_id: dict[identifiers.JobId, FollowedJob] = {}

    # Follower side

    def follow_if_elsewhere(
        self, event: events.JobSubmitted, now: datetime.datetime
    ) -> FollowedJob | None:
        """Follow a job that another node leads, or of which runs have outlived their node.

        Return None if no live node is known to have it.
        """
        leader = self._members.find_leader(event.job.id, now) or self._find_unfinished(event, now)
        if event.job.id not in self._by_id and leader in (None, event.former_leader):
            return None
        return self.follow_leader(event, leader, now)

    def _find_unfinished(
        self, event: events.JobSubmitted, now: datetime.datetime
    ) -> identifiers.NodeId | None:
        """Return the owner, which may be this node, of unfinished runs of a job, or None."""
        if self._coordinator.has_unfinished(event.job.id, now):
            return self._members.own_id
        return self._members.find_owner_of_unfinished(event.job.id, now)

    def follow_leader(
        self, event: events.JobSubmitted, leader: identifiers.NodeId, now: datetime.datetime
    ) -> FollowedJob:
        """Wait for the answer of the node that leads a job."""
        known = self._by_id.get(event.job.id)
        if known is not None:
            known.callers.add(event.caller)
            return known
        followed = FollowedJob(event, leader, now)
        self._by_id[event.job.id] = followed
        self._send_follow(followed, now)
        return followed

    def is_followed(self, job: identifiers.JobId) -> bool:
        """Return whether callers here wait for a job of another node."""
        return job in self._by_id

    def leaders(self) -> set[identifiers.NodeId]:
        """Return the nodes that lead the jobs followed here."""
        return {followed.leader for followed in self._by_id.values()}

    def caller_left(self, caller: identifiers.CallerId) -> None:
        """Detach a caller, and unfollow jobs for which no caller is left."""
        for followed in list(self._by_id.values()):
            followed.callers.discard(caller)
            if not followed.callers:
                self._unfollow(followed)

    def handle_outcome(self, message: messages.JobOutcome, now: datetime.datetime) -> None:
        """Answer the callers of a followed job; resubmit it here if it ended without an answer."""
        followed = self._by_id.pop(message.job, None)
        if followed is None:
            return
        if message.verdict:
            self._answer(followed, actions.Verdict(message.verdict), message.reason, now)
        else:
            self._resubmit_here(followed, now)

    def has_waiting_callers(self) -> bool:
        """Tell whether callers here wait for jobs of other nodes."""
        return bool(self._by_id)

    def tick(self, now: datetime.datetime) -> None:
        """Handle deadlines and lost leaders, and repeat follow messages that may have been lost."""
        for followed in list(self._by_id.values()):
            if now >= followed.deadline - deadlines.ANSWER_MARGIN:
                self._unfollow(followed)
                reason = "the node that has the job did not answer in time"
                self._answer(followed, actions.Verdict.GIVEN_UP, reason, now)
            elif self._is_leader_lost(followed, now):
                del self._by_id[followed.request.id]
                self._resubmit_here(followed, now)
            elif now - followed.follow_sent_at >= timings.FOLLOW_INTERVAL:
                self._send_follow(followed, now)

    def _answer(
        self,
        followed: FollowedJob,
        verdict: actions.Verdict,
        reason: str,
        now: datetime.datetime,
    ) -> None:
        request = followed.request
        took = now - followed.arrived_at
        self._outbox.note(
            notes.NoteEvent.JOB_ANSWERED,
            job=request.id,
            queue=request.queue,
            verdict=verdict.value,
            reason=reason,
            took_ms=notes.to_ms(took),
            objective_ms=notes.to_ms(request.objective()),
            is_late=took > request.objective(),
            leader=followed.leader,
        )
        self._coordinator.answer_callers(request.id, followed.callers, verdict, reason)

    def _resubmit_here(self, followed: FollowedJob, now: datetime.datetime) -> None:
        for event in followed.to_submissions(now):
            self._coordinator.submit(event, now)

    def _send_follow(self, followed: FollowedJob, now: datetime.datetime) -> None:
        followed.follow_sent_at = now
        message = messages.FollowJob(
            sender=self._members.own_id,
            job=followed.request.id,
            remaining_wait_ms=clocks.to_ms(followed.deadline - now),
        )
        self._outbox.send(followed.leader, message)

    def _unfollow(self, followed: FollowedJob) -> None:
        del self._by_id[followed.request.id]
        message = messages.UnfollowJob(sender=self._members.own_id, job=followed.request.id)
        self._outbox.send(followed.leader, message)

    def _is_leader_lost(self, followed: FollowedJob, now: datetime.datetime) -> bool:
        """Tell whether the leader has been silent for so long that no run of the job is left."""
        is_here = followed.leader == self._members.own_id
        if is_here or self._members.find_live(followed.leader, now) is not None:
            return False
        # The leader need not have sent anything to this node before it was asked.
        heard = self._members.heard_by_id.get(followed.leader, followed.arrived_at)
        return now - max(heard, followed.arrived_at) > timings.OWNER_LOST_AFTER

    # Leader side

    def advertised_jobs(self, now: datetime.datetime) -> tuple[identifiers.JobId, ...]:
        """Return the jobs to advertise, as their callers may have resubmitted them elsewhere."""
        return tuple(
            job.request.id
            for job in self._coordinator.jobs_by_id.values()
            if now - job.arrived_at >= timings.JOB_ADVERTISED_AFTER
        )

    def add_follower(self, message: messages.FollowJob, now: datetime.datetime) -> None:
        """Register a node as a follower of a job, and extend the deadline to its caller's.

        A follower that waits for unfinished runs of a lost node repeats its message.
        """
        job = self._coordinator.jobs_by_id.get(message.job)
        if job is None:
            if not self._coordinator.has_unfinished(message.job, now):
                self._send_outcome(message.sender, message.job)
            return
        job.followers.add(message.sender)
        remaining_wait = datetime.timedelta(milliseconds=message.remaining_wait_ms)
        job.deadline = max(job.deadline, now + remaining_wait)

    def remove_follower(self, message: messages.UnfollowJob, now: datetime.datetime) -> None:
        """Remove a follower of a job, and stop the job if no caller is left at any node."""
        job = self._coordinator.jobs_by_id.get(message.job)
        if job is not None:
            job.followers.discard(message.sender)
            self._coordinator.end_if_abandoned(job, now)

    def notify_followers(
        self, job: jobs.Job, verdict: actions.Verdict | None = None, reason: str = ""
    ) -> None:
        """Send a job's answer to its followers, or tell them that it ended without one."""
        for node in sorted(job.followers):
            self._send_outcome(node, job.request.id, verdict, reason)
        job.followers.clear()

    def _send_outcome(
        self,
        node: identifiers.NodeId,
        job: identifiers.JobId,
        verdict: actions.Verdict | None = None,
        reason: str = "",
    ) -> None:
        message = messages.JobOutcome(
            sender=self._members.own_id,
            job=job,
            verdict="" if verdict is None else verdict.value,
            reason=reason,
        )
        self._outbox.send(node, message)
