"""Jobs that callers handed in at several nodes: one node works at each, the others follow it."""

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
    mailboxes,
    members,
    messages,
    notes,
    timings,
)

if TYPE_CHECKING:
    from chiveridge_pool import coordinators


class Following:
    """One job of another node, and who waits for its answer here."""

    def __init__(
        self, event: events.JobSubmitted, leader: identifiers.NodeId, now: datetime.datetime
    ):
        self.request = event.job
        self.callers = {event.caller}
        self.leader = leader
        self.arrived_at = now
        self.deadline = now + event.job.patience
        self.asked_at = now

    def resubmitted(self, now: datetime.datetime) -> list[events.JobSubmitted]:
        """Return what the callers handed in, with the patience that they have left."""
        patience = max(self.deadline - now, datetime.timedelta())
        request = msgspec.structs.replace(self.request, patience=patience)
        return [events.JobSubmitted(caller=caller, job=request) for caller in self.callers]


class Followings:
    """Both sides of following: jobs of other nodes, and own jobs that others follow."""

    def __init__(
        self,
        table: members.Members,
        mailbox: mailboxes.Mailbox,
        coordinator: "coordinators.Coordinator",
    ):
        self._members = table
        self._mailbox = mailbox
        self._coordinator = coordinator
        self._by_id: dict[identifiers.JobId, Following] = {}

    # Jobs of other nodes

    def take(self, event: events.JobSubmitted, now: datetime.datetime) -> Following | None:
        """Follow a job that another node has, or return None when none is known to have it."""
        known = self._by_id.get(event.job.id)
        if known is not None:
            known.callers.add(event.caller)
            return known
        leader = self._members.find_with_job(event.job.id, now)
        if leader is None:
            return None
        following = Following(event, leader.id, now)
        self._by_id[event.job.id] = following
        self._ask(following, now)
        return following

    def caller_left(self, caller: identifiers.CallerId) -> None:
        """Forget a caller, and a job for which nobody waits any more."""
        for following in list(self._by_id.values()):
            following.callers.discard(caller)
            if not following.callers:
                self._leave(following)

    def outcome(self, message: messages.Outcome, now: datetime.datetime) -> None:
        """Pass on the answer of a job that was followed, or work at the job here."""
        following = self._by_id.pop(message.job, None)
        if following is None:
            return
        if message.verdict:
            self._answer(following, actions.Verdict(message.verdict), message.reason, now)
        else:
            self._take_over(following, now)

    def has_any(self) -> bool:
        """Tell whether a caller waits here for the job of another node."""
        return bool(self._by_id)

    def tick(self, now: datetime.datetime) -> None:
        """Do what is due: answers at the deadline, lost nodes, questions that may be lost."""
        for following in list(self._by_id.values()):
            if now >= following.deadline - deadlines.ANSWER_MARGIN:
                self._leave(following)
                reason = "the node that has the job did not answer in time"
                self._answer(following, actions.Verdict.GIVEN_UP, reason, now)
            elif self._is_lost(following, now):
                del self._by_id[following.request.id]
                self._take_over(following, now)
            elif now - following.asked_at >= timings.FOLLOW_INTERVAL:
                self._ask(following, now)

    def _answer(
        self,
        following: Following,
        verdict: actions.Verdict,
        reason: str,
        now: datetime.datetime,
    ) -> None:
        request = following.request
        took = now - following.arrived_at
        self._mailbox.note(
            notes.NoteEvent.JOB_ANSWERED,
            job=request.id,
            queue=request.queue,
            verdict=verdict.value,
            reason=reason,
            took_ms=notes.to_ms(took),
            objective_ms=notes.to_ms(request.objective()),
            is_late=took > request.objective(),
            leader=following.leader,
        )
        self._coordinator.answer_callers(request.id, following.callers, verdict, reason)

    def _take_over(self, following: Following, now: datetime.datetime) -> None:
        for event in following.resubmitted(now):
            self._coordinator.submit(event, now)

    def _ask(self, following: Following, now: datetime.datetime) -> None:
        following.asked_at = now
        message = messages.Follow(
            sender=self._members.own_id,
            job=following.request.id,
            patience_ms=clocks.to_ms(following.deadline - now),
        )
        self._mailbox.send(following.leader, message)

    def _leave(self, following: Following) -> None:
        del self._by_id[following.request.id]
        message = messages.Unfollow(sender=self._members.own_id, job=following.request.id)
        self._mailbox.send(following.leader, message)

    def _is_lost(self, following: Following, now: datetime.datetime) -> bool:
        """Tell whether a job's node is silent for so long that nothing of the job runs."""
        if self._members.find_live(following.leader, now) is not None:
            return False
        heard = self._members.heard_by_id.get(following.leader, following.arrived_at)
        return now - heard > timings.OWNER_LOST_AFTER

    # Own jobs

    def told_jobs(self, now: datetime.datetime) -> tuple[identifiers.JobId, ...]:
        """Return the jobs that callers may have sent to other nodes as well."""
        return tuple(
            job.request.id
            for job in self._coordinator.jobs_by_id.values()
            if now - job.arrived_at >= timings.TOLD_JOB_AGE
        )

    def follow(self, message: messages.Follow, now: datetime.datetime) -> None:
        """Let another node wait for the answer of a job."""
        job = self._coordinator.jobs_by_id.get(message.job)
        if job is None:
            self._send_outcome(message.sender, message.job)
            return
        job.followers.add(message.sender)
        patience = datetime.timedelta(milliseconds=message.patience_ms)
        job.deadline = max(job.deadline, now + patience)

    def unfollow(self, message: messages.Unfollow, now: datetime.datetime) -> None:
        """Stop a job for which nobody waits any more at any node."""
        job = self._coordinator.jobs_by_id.get(message.job)
        if job is not None:
            job.followers.discard(message.sender)
            self._coordinator.end_if_unwanted(job, now)

    def tell(self, job: jobs.Job, verdict: actions.Verdict | None = None, reason: str = "") -> None:
        """Tell those who follow a job its answer, or that it ended without one."""
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
        message = messages.Outcome(
            sender=self._members.own_id,
            job=job,
            verdict="" if verdict is None else verdict.value,
            reason=reason,
        )
        self._mailbox.send(node, message)
