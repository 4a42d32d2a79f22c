"""Refusals of jobs of which no task has run: their reasons, log lines and answers."""

import datetime

from chiveridge_pool import actions, events, jobs, members, notes, outboxes, target_owners

RETRY_AFTER = datetime.timedelta(seconds=1)
"""Retry delay for refused callers; about the time it takes to drain the queue of a burst."""

NO_ROOM = "no room in time"
EVACUATED = "all targets that could run it are evacuated"


class Refusals:
    """Decides which jobs cannot be served, and refuses them."""

    def __init__(
        self,
        table: members.Membership,
        outbox: outboxes.Outbox,
        target_owner: target_owners.TargetOwner,
    ):
        self._members = table
        self._outbox = outbox
        self._target_owner = target_owner

    def reason_for(self, request: jobs.JobRequest, now: datetime.datetime) -> str | None:
        """Return why no target can run a job, or None if one may."""
        if self._target_owner.is_starting_up(now):
            return None
        if not self._target_owner.target_list.by_id:
            return "no target is known"
        if not all(self._fits_somewhere(request, step) for step in request.steps):
            return "no target is large enough"
        if not all(self._fits_somewhere(request, step, in_use=True) for step in request.steps):
            return EVACUATED
        if not self._target_owner.has_reachable_target(now) and not self._members.live(now):
            return "no owner of targets is reached"
        return None

    def _fits_somewhere(
        self, request: jobs.JobRequest, step: jobs.StepRequest, *, in_use: bool = False
    ) -> bool:
        """Return whether a target is large enough, or one ``in_use`` that is not evacuated."""
        return any(
            target.service == request.service
            and not (in_use and self._target_owner.is_evacuated(target))
            and (not step.label or step.label in target.labels)
            and step.size.fits_in(target.capacity)
            for target in self._target_owner.target_list.by_id.values()
        )

    def refuse_at_once(
        self,
        event: events.JobSubmitted,
        reason: str,
        retry_after: datetime.timedelta = RETRY_AFTER,
    ) -> None:
        """Refuse a job on arrival."""
        self._outbox.add(
            actions.AnswerCaller(
                caller=event.caller,
                job=event.job.id,
                verdict=actions.Verdict.REFUSED,
                reason=reason,
                retry_after=retry_after,
            )
        )
        self._outbox.note(
            notes.NoteEvent.JOB_REFUSED,
            job=event.job.id,
            queue=event.job.queue,
            reason=reason,
            waited_ms=0.0,
            at_once=True,
        )

    def log_no_capacity(self, job: jobs.Job, now: datetime.datetime) -> None:
        """Log the free capacity known here when a job is refused for lack of capacity."""
        step = job.steps[0]
        size = step.request.size
        free_by_node = {
            member.endpoint: sum(size.fit_count(capacity) for capacity in member.free_capacities)
            for member in self._members.live(now)
        }
        own = sum(size.fit_count(owned.free()) for owned in self._target_owner.usable_targets(now))
        self._outbox.note(
            notes.NoteEvent.JOB_REFUSED,
            job=job.request.id,
            queue=job.request.queue,
            reason=NO_ROOM,
            waited_ms=notes.to_ms(now - job.arrived_at),
            tasks=step.request.count,
            own_room=own,
            room_by_node=free_by_node,
            asked=len(step.requested_by_owner),
        )
