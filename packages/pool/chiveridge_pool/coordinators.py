"""The part of a job's node: asks for room, starts tasks, follows them and answers the caller."""

import datetime

from chiveridge_kernel import clocks
from chiveridge_pool import (
    actions,
    events,
    holders,
    identifiers,
    jobs,
    mailboxes,
    members,
    messages,
    notes,
    ranks,
    rooms,
    runs,
    timings,
)

_DEADLINE_MARGIN = datetime.timedelta(milliseconds=50)
"""The answer must reach the caller before it leaves."""

_LATE_OBJECTIVES = 2.0
"""Multiple of the objective after which a job that has not started is refused."""

_SOONEST_END = 0.5
"""Part of the declared run time that a task takes at least; declarations are off by so much."""

_RETRY_AFTER = datetime.timedelta(seconds=1)
_RETRY_AFTER_DRAIN = datetime.timedelta(milliseconds=50)
_AVOIDED_AFTER = frozenset({runs.RunEnd.FAILED, runs.RunEnd.STOPPED})
_RUN_NUMBER_STEP = 16
"""Raise of the run number after a target has refused one as old."""


class Coordinator:
    """All jobs that callers handed in at this node."""

    def __init__(
        self,
        table: members.Members,
        mailbox: mailboxes.Mailbox,
        holder: holders.Holder,
        order: ranks.Order,
    ):
        self._members = table
        self._mailbox = mailbox
        self._holder = holder
        self._own_id = table.own_id
        self._ranks = ranks.Ranks(order)
        self._start_sequences: dict[identifiers.NodeId, int] = {}
        self._runs_by_grant: dict[identifiers.GrantId, jobs.Run] = {}
        self._job_by_caller: dict[identifiers.CallerId, jobs.Job] = {}
        self.jobs_by_id: dict[identifiers.JobId, jobs.Job] = {}
        self.accepts_jobs = True

    # Callers

    def submit(self, event: events.JobSubmitted, now: datetime.datetime) -> None:
        """Take a job, or refuse it."""
        known = self.jobs_by_id.get(event.job.id)
        if known is not None and not known.is_over:
            known.callers.add(event.caller)
            self._mailbox.note(notes.NoteEvent.JOB_JOINED, job=event.job.id)
            self._job_by_caller[event.caller] = known
            return
        reason = self._refusal(event.job, known, now)
        if reason is not None:
            self._refuse(event.caller, event.job.id, reason)
            self._mailbox.note(
                notes.NoteEvent.JOB_REFUSED,
                job=event.job.id,
                queue=event.job.queue,
                reason=reason,
                waited_ms=0.0,
            )
            return
        job = jobs.Job(event.job, event.caller, now)
        self._ranks.arrived(event.job, now)
        self.jobs_by_id[event.job.id] = job
        self._job_by_caller[event.caller] = job
        self._mailbox.note(
            notes.NoteEvent.JOB_TAKEN,
            job=event.job.id,
            queue=event.job.queue,
            tasks=event.job.count,
            patience_ms=_ms(event.job.patience),
            estimate_ms=_ms(event.job.estimate),
            size=list(event.job.size.as_tuple()),
        )
        self._ask(job, now)

    def _refusal(
        self, request: jobs.JobRequest, known: jobs.Job | None, now: datetime.datetime
    ) -> str | None:
        if not self.accepts_jobs:
            return "the node is draining"
        if known is not None:
            return "runs of the job are still being stopped"
        if not any(request.size.fits_in(room) for room in self._capacities(request)):
            return "no target is large enough"
        if not self._holder.reaches_any(now) and not self._members.live(now):
            return "no owner of targets is reached"
        return None

    def _capacities(self, request: jobs.JobRequest):
        for target in self._holder.targets_by_id.values():
            has_label = not request.label or request.label in target.labels
            if target.service == request.service and has_label:
                yield target.capacity

    def _refuse(self, caller: identifiers.CallerId, job: identifiers.JobId, reason: str) -> None:
        is_draining = not self.accepts_jobs
        self._mailbox.add(
            actions.AnswerCaller(
                caller=caller,
                job=job,
                verdict=actions.Verdict.REFUSED,
                reason=reason,
                retry_after=_RETRY_AFTER_DRAIN if is_draining else _RETRY_AFTER,
            )
        )

    def caller_left(self, caller: identifiers.CallerId, now: datetime.datetime) -> None:
        """Stop a job that nobody waits for any more."""
        job = self._job_by_caller.pop(caller, None)
        if job is None:
            return
        job.callers.discard(caller)
        if not job.callers:
            self._mailbox.note(notes.NoteEvent.CALLER_LEFT, job=job.request.id)
            self._end(job, now)

    def cancel(self, job_id: identifiers.JobId, now: datetime.datetime) -> bool:
        """Cancel a job; tell whether it was in progress here."""
        job = self.jobs_by_id.get(job_id)
        if job is None or job.is_over:
            return False
        self._answer(job, actions.Verdict.CANCELLED, "cancelled by a caller", now)
        self._end(job, now)
        return True

    def _answer(
        self, job: jobs.Job, verdict: actions.Verdict, reason: str, now: datetime.datetime
    ) -> None:
        took = now - job.arrived_at
        self._mailbox.note(
            notes.NoteEvent.JOB_ANSWERED,
            job=job.request.id,
            queue=job.request.queue,
            verdict=verdict.value,
            reason=reason,
            took_ms=_ms(took),
            objective_ms=_ms(job.objective()),
            is_late=took > job.objective(),
            done=job.done,
            tasks=len(job.tasks),
        )
        retry_after = _RETRY_AFTER if verdict is actions.Verdict.REFUSED else None
        for caller in job.callers:
            self._job_by_caller.pop(caller, None)
            self._mailbox.add(
                actions.AnswerCaller(
                    caller=caller,
                    job=job.request.id,
                    verdict=verdict,
                    reason=reason,
                    retry_after=retry_after,
                )
            )
        job.callers.clear()

    def _end(self, job: jobs.Job, now: datetime.datetime) -> None:
        """Want nothing more of a job; it is forgotten once nothing of it runs."""
        job.is_over = True
        self._withdraw(job)
        self._stop_runs(list(job.runs_by_grant.values()), now)
        self._forget_if_settled(job)

    def _forget_if_settled(self, job: jobs.Job) -> None:
        known = self.jobs_by_id.get(job.request.id)
        if job.is_over and not job.runs_by_grant and known is job:
            del self.jobs_by_id[job.request.id]

    # Room

    def _ask(self, job: jobs.Job, now: datetime.datetime) -> None:
        """Ask those owners that probably have room, and all when these are not enough."""
        need = len(job.waiting)
        shares = rooms.split(need, job.request.size, self._members, self._holder, now)
        if sum(share for _, share in shares) < need:
            self._ask_all(job, now)
            return
        for node, share in shares:
            self._send_ask(job, node, share, now)
        job.widen_at = now + timings.WIDEN_AFTER

    def _ask_all(self, job: jobs.Job, now: datetime.datetime) -> None:
        job.widen_at = None
        need = len(job.waiting)
        for node in [self._own_id, *(member.id for member in self._members.live(now))]:
            self._send_ask(job, node, need, now)

    def _send_ask(
        self, job: jobs.Job, node: identifiers.NodeId, count: int, now: datetime.datetime
    ) -> None:
        request = job.request
        job.asked[node] = count
        job.standing = self._ranks.standing(job, now)
        ask = messages.Ask(
            sender=self._own_id,
            job=request.id,
            rank=self._ranks.rank(job, now),
            queue=request.queue,
            service=request.service,
            size=request.size,
            count=count,
            estimate_ms=_ms(request.estimate),
            label=request.label,
            rack=request.rack,
            per_target=request.per_target,
        )
        self._mailbox.send(node, ask)

    def _withdraw(self, job: jobs.Job) -> None:
        for node, left in job.asked.items():
            if left > 0:
                message = messages.Withdraw(sender=self._own_id, job=job.request.id)
                self._mailbox.send(node, message)
        job.asked.clear()
        job.widen_at = None

    def granted(self, message: messages.Granted, now: datetime.datetime) -> None:
        """Start tasks on granted room, and give back what is not needed."""
        job = self.jobs_by_id.get(message.job)
        unused = []
        started = []
        for grant, target, token in message.grants:
            task = self._next_task(job, target)
            if task is None:
                unused.append(grant)
                continue
            started.append((task, grant, target, token))
        if unused:
            release = messages.Release(sender=self._own_id, grants=tuple(unused))
            self._mailbox.send(message.sender, release)
        if job is None or job.is_over:
            return
        left = job.asked.get(message.sender, 0) - len(message.grants)
        job.asked[message.sender] = max(left, 0)
        if started:
            self._start(job, message.sender, started, now)
        if not job.waiting:
            self._withdraw(job)

    def _next_task(self, job: jobs.Job | None, target: identifiers.TargetId) -> jobs.Task | None:
        if job is None or job.is_over or not job.waiting:
            return None
        for position in range(len(job.waiting) - 1, -1, -1):
            if target not in job.waiting[position].avoided:
                return job.waiting.pop(position)
        return None

    def _start(
        self,
        job: jobs.Job,
        owner: identifiers.NodeId,
        started: list[tuple],
        now: datetime.datetime,
    ) -> None:
        sequence = self._start_sequences.get(owner, 0) + 1
        self._start_sequences[owner] = sequence
        rows = []
        for task, grant, target, token in started:
            task.run += 1
            run = jobs.Run(job, task, grant, owner, target, token, sequence, now)
            job.runs_by_grant[grant] = run
            self._runs_by_grant[grant] = run
            rows.append((grant, job.name_of(task), identifiers.RunNumber(task.run)))
        job.has_started = True
        self._mailbox.note(
            notes.NoteEvent.JOB_PLACED,
            job=job.request.id,
            owner=owner,
            targets=[target for _, _, target, _ in started],
            waited_ms=_ms(now - job.arrived_at),
            still_waiting=len(job.waiting),
        )
        message = messages.Start(
            sender=self._own_id,
            job=job.request.id,
            sequence=sequence,
            spec=job.request.spec,
            runs=tuple(rows),
        )
        self._mailbox.send(owner, message)

    # Ends

    def ended(self, message: messages.Ended, now: datetime.datetime) -> None:
        """Take the ends of runs."""
        for grant, how in message.ends:
            run = self._runs_by_grant.get(grant)
            if run is not None:
                self._run_ended(run, runs.END_BY_WORD.get(how, runs.RunEnd.LOST), now)

    def _run_ended(self, run: jobs.Run, how: runs.RunEnd, now: datetime.datetime) -> None:
        job = run.job
        del self._runs_by_grant[run.grant]
        del job.runs_by_grant[run.grant]
        if job.is_over:
            self._forget_if_settled(job)
            return
        if how is runs.RunEnd.DONE:
            self._task_done(run, now)
            return
        if how is runs.RunEnd.FAILED:
            run.task.attempts += 1
        if how in _AVOIDED_AFTER:
            self._avoid(run)
        if how is runs.RunEnd.OLD:
            run.task.run += _RUN_NUMBER_STEP
        if run.task.attempts >= job.request.max_attempts:
            self._answer(job, actions.Verdict.FAILED, "a task has used up its attempts", now)
            self._end(job, now)
            return
        self._note_run_again(run, how, now)
        job.waiting.append(run.task)
        if job.widen_at is None:
            job.widen_at = now

    def _avoid(self, run: jobs.Run) -> None:
        """Run a task elsewhere, unless it was everywhere already."""
        run.task.avoided.add(run.target)
        if len(run.task.avoided) >= len(self._holder.targets_by_id):
            run.task.avoided.clear()

    def _note_run_again(self, run: jobs.Run, how: runs.RunEnd, now: datetime.datetime) -> None:
        """Write why a task has to run again, with the age of what is known of its owner."""
        heard = self._members.heard_by_id.get(run.owner)
        self._mailbox.note(
            notes.NoteEvent.RUN_LOST,
            job=run.job.request.id,
            task=run.job.name_of(run.task),
            run=run.task.run,
            target=run.target,
            owner=run.owner,
            how=how.value,
            ran_ms=_ms(now - run.started_at),
            owner_heard_ms_ago=None if heard is None else _ms(now - heard),
            failed_attempts=run.task.attempts,
        )

    def _task_done(self, run: jobs.Run, now: datetime.datetime) -> None:
        job = run.job
        job.done += 1
        if job.done == len(job.tasks):
            self._answer(job, actions.Verdict.COMPLETE, "", now)
            self._end(job, now)

    def _stop_runs(self, stopped: list[jobs.Run], now: datetime.datetime) -> None:
        by_owner: dict[identifiers.NodeId, list[identifiers.GrantId]] = {}
        for run in stopped:
            run.stopped_at = now
            by_owner.setdefault(run.owner, []).append(run.grant)
        for owner, grants in by_owner.items():
            self._mailbox.send(owner, messages.Stop(sender=self._own_id, grants=tuple(grants)))

    def moved(self, message: messages.Moved, now: datetime.datetime) -> None:
        """Follow runs to the new owner of their target."""
        for grant in message.grants:
            run = self._runs_by_grant.get(grant)
            if run is not None:
                self._mailbox.note(
                    notes.NoteEvent.RUN_MOVED,
                    job=run.job.request.id,
                    target=run.target,
                    owner=message.owner,
                )
                run.owner = message.owner
                run.moved_at = now

    def reconcile(self, beat: messages.Heartbeat, now: datetime.datetime) -> None:
        """Compare an owner's list of runs with what this node believes."""
        if beat.recipient != self._own_id:
            return
        listed = frozenset(beat.runs)
        for run in list(self._runs_by_grant.values()):
            if run.grant in listed:
                run.owner = beat.sender
                run.moved_at = None
                run.token = beat.held.get(run.target, run.token)
            elif beat.held.get(run.target, 0) > run.token:
                # Under a newer token the target runs only what its owner lists.
                self._run_ended(run, runs.RunEnd.LOST, now)
            elif run.owner == beat.sender:
                self._check_unlisted(run, beat, now)
        strays = [grant for grant in beat.runs if grant not in self._runs_by_grant]
        if strays:
            stop = messages.Stop(sender=self._own_id, grants=tuple(strays))
            self._mailbox.send(beat.sender, stop)

    def _check_unlisted(
        self, run: jobs.Run, beat: messages.Heartbeat, now: datetime.datetime
    ) -> None:
        if run.moved_at is not None:
            if now - run.moved_at > timings.OWNER_LOST_AFTER:
                self._run_ended(run, runs.RunEnd.LOST, now)
        elif run.sequence <= beat.started:
            self._run_ended(run, runs.RunEnd.LOST, now)
        elif run.stopped_at is None and now - run.started_at > timings.START_PATIENCE:
            # The start was lost on its way; an owner that does not know the run says so.
            self._stop_runs([run], now)

    # Time

    def tick(self, now: datetime.datetime) -> None:
        """Do what is due: refusals, deadlines, wider asks, stops, lost owners."""
        for job in list(self.jobs_by_id.values()):
            if not job.is_over:
                self._tick_job(job, now)
        for run in list(self._runs_by_grant.values()):
            self._tick_run(run, now)

    def _tick_job(self, job: jobs.Job, now: datetime.datetime) -> None:
        if now >= job.deadline - _DEADLINE_MARGIN or self._is_hopeless(job, now):
            self._expire(job, now)
        elif not job.has_started and now >= self.start_limit(job):
            self._note_refusal(job, now)
            self._answer(job, actions.Verdict.REFUSED, "no room in time", now)
            self._end(job, now)
        elif job.waiting and self._must_ask_all(job, now):
            self._ask_all(job, now)

    def _note_refusal(self, job: jobs.Job, now: datetime.datetime) -> None:
        """Write what was known of the room when a job was refused for want of it."""
        size = job.request.size
        free_by_node = {
            member.endpoint: sum(size.times_in(room) for room in member.free)
            for member in self._members.live(now)
        }
        own = sum(size.times_in(holding.free()) for holding in self._holder.usable(now))
        self._mailbox.note(
            notes.NoteEvent.JOB_REFUSED,
            job=job.request.id,
            queue=job.request.queue,
            reason="no room in time",
            waited_ms=_ms(now - job.arrived_at),
            tasks=job.request.count,
            own_room=own,
            room_by_node=free_by_node,
            asked=len(job.asked),
        )

    def _is_hopeless(self, job: jobs.Job, now: datetime.datetime) -> bool:
        """Tell whether a task that does not run could not end before the deadline."""
        soonest = now + _SOONEST_END * job.request.estimate
        return job.has_started and bool(job.waiting) and soonest > job.deadline

    def _must_ask_all(self, job: jobs.Job, now: datetime.datetime) -> bool:
        """Tell whether few owners were asked in vain, or they know an old rank."""
        if job.widen_at is not None and now >= job.widen_at:
            return True
        return job.standing != self._ranks.standing(job, now)

    def start_limit(self, job: jobs.Job) -> datetime.datetime:
        """Return when a job that has not started is refused."""
        if not self._ranks.refuses:
            return job.deadline
        by_objective = _LATE_OBJECTIVES * job.objective()
        in_time = min(by_objective, job.request.patience) - job.request.estimate
        return job.arrived_at + max(in_time, job.objective() / 4)

    def _expire(self, job: jobs.Job, now: datetime.datetime) -> None:
        verdict = actions.Verdict.GIVEN_UP if job.has_started else actions.Verdict.REFUSED
        self._answer(job, verdict, "not done before the caller's deadline", now)
        self._end(job, now)

    def _tick_run(self, run: jobs.Run, now: datetime.datetime) -> None:
        if run.owner != self._own_id and self._members.find_live(run.owner, now) is None:
            heard = self._members.heard_by_id.get(run.owner, run.started_at)
            owned_at = run.moved_at or run.started_at
            if now - max(heard, owned_at) > timings.OWNER_LOST_AFTER:
                self._run_ended(run, runs.RunEnd.LOST, now)
                return
        if run.stopped_at is not None and now - run.stopped_at > timings.STOP_INTERVAL:
            self._stop_runs([run], now)

    def pending(self, queue: identifiers.QueueName) -> int:
        """Return how many jobs of a queue have not started."""
        return sum(
            job.request.queue == queue and not job.has_started and not job.is_over
            for job in self.jobs_by_id.values()
        )


def _ms(duration: datetime.timedelta) -> float:
    return round(clocks.to_ms(duration), 1)
