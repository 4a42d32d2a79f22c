"""Coordinates the jobs submitted at this node: gets capacity, runs tasks, answers callers."""

import datetime
import enum

import msgspec

from chiveridge_pool import (
    actions,
    capacity_requests,
    crash_reports,
    deadlines,
    events,
    faults,
    followed_jobs,
    identifiers,
    jobs,
    members,
    messages,
    notes,
    outboxes,
    placements,
    ranks,
    refusals,
    runs,
    suspects,
    target_owners,
)

_RETRY_AFTER_DRAIN = datetime.timedelta(milliseconds=50)
"""Retry delay when this node is draining; short, as other nodes can accept the job at once."""

_ENDS_TO_AVOID_TARGET_AFTER = frozenset({runs.RunEnd.FAILED, runs.RunEnd.STOPPED})
_UNEXPLAINED_ENDS = frozenset({runs.RunEnd.CRASHED, runs.RunEnd.LOST})
"""Ends of runs whose task may have crashed its target."""

_INTERNAL_FAULT = "an internal fault"

_RUN_NUMBER_INCREMENT = 16
"""Added to the run number after a target has rejected it as out of date."""


class JobState(enum.Enum):
    """Progress of a job as reported to callers."""

    QUEUED = "queued"
    RUNNING = "running"


class Coordinator:
    """All jobs that callers submitted to this node."""

    def __init__(
        self,
        table: members.Membership,
        outbox: outboxes.Outbox,
        target_owner: target_owners.TargetOwner,
        order: ranks.RankingPolicy,
        reports: crash_reports.CrashReports,
        contained: faults.Faults,
    ):
        self._faults = contained
        self._members = table
        self._outbox = outbox
        self._target_owner = target_owner
        self._own_id = table.own_id
        self._ranks = ranks.Ranks(order)
        self._refusals = refusals.Refusals(table, outbox, target_owner)
        self._capacity_requester = capacity_requests.CapacityRequester(
            table, outbox, target_owner, self._ranks, reports
        )
        self._suspects = suspects.Suspects(reports, self._capacity_requester, outbox)
        self.followed_jobs = followed_jobs.FollowedJobs(table, outbox, self)
        self._job_by_caller: dict[identifiers.CallerId, jobs.Job] = {}
        self.placements = placements.Placements(table, outbox, self._run_ended)
        self.jobs_by_id: dict[identifiers.JobId, jobs.Job] = {}
        self.accepts_jobs = True

    # Callers

    def submit(
        self, event: events.JobSubmitted, now: datetime.datetime, *, was_paused: bool = False
    ) -> None:
        """Accept or refuse a job, or attach the caller to a job in progress with the same id.

        If the process ``was_paused``, the job may be in progress at another node by now.
        """
        job_id = event.job.id
        if self._faults.contain("submission", job_id, self._submit, event, now, was_paused):
            return
        job = self.jobs_by_id.get(job_id)
        if job is not None:
            self._abandon(job, now)
        else:
            may_run = self.has_job(job_id, now)
            verdict = actions.Verdict.GIVEN_UP if may_run else actions.Verdict.REFUSED
            self.answer_callers(job_id, {event.caller}, verdict, _INTERNAL_FAULT)

    def _submit(self, event: events.JobSubmitted, now: datetime.datetime, was_paused: bool) -> None:
        known = self.jobs_by_id.get(event.job.id)
        if known is not None and not known.has_ended:
            self._attach_caller(known, event.caller)
            return
        if known is None and self._follow(event, now):
            return
        if known is None and self._answer_if_crashing(event, now):
            return
        reason = "the process was paused" if was_paused else None
        reason = reason or self._refusal_reason(event.job, known, now)
        if reason is not None:
            is_draining = not self.accepts_jobs
            retry_after = _RETRY_AFTER_DRAIN if is_draining else refusals.RETRY_AFTER
            self._refusals.refuse_at_once(event, reason, retry_after)
            return
        self._accept(event, now)

    def _attach_caller(self, job: jobs.Job, caller: identifiers.CallerId) -> None:
        job.callers.add(caller)
        self._job_by_caller[caller] = job
        self._outbox.note(notes.NoteEvent.JOB_JOINED, job=job.request.id)

    def _follow(self, event: events.JobSubmitted, now: datetime.datetime) -> bool:
        followed = self.followed_jobs.follow_if_elsewhere(event, now)
        if followed is None:
            return False
        self._outbox.note(notes.NoteEvent.JOB_FOLLOWED, job=event.job.id, leader=followed.leader)
        return True

    def has_unfinished(self, job_id: identifiers.JobId, now: datetime.datetime) -> bool:
        """Return whether runs on this node's targets have outlived the job's node."""
        return self._target_owner.has_unfinished(job_id, now)

    def _answer_if_crashing(self, event: events.JobSubmitted, now: datetime.datetime) -> bool:
        """Answer a job that was sent again and of which a task is known to crash targets."""
        ending = self._suspects.find_ending(event.job.id, now)
        if ending is None:
            return False
        verdict, reason = ending
        self._outbox.note(
            notes.NoteEvent.JOB_ANSWERED,
            job=event.job.id,
            queue=event.job.queue,
            verdict=verdict.value,
            reason=reason,
            took_ms=0.0,
            objective_ms=notes.to_ms(event.job.objective()),
            is_late=False,
            done=0,
            tasks=event.job.count,
            **self._suspects.fields_for(event.job.id),
        )
        self.answer_callers(event.job.id, {event.caller}, verdict, reason)
        return True

    def end_if_crashing(self, job_id: identifiers.JobId, now: datetime.datetime) -> None:
        """End a job in progress of which a task is known to crash targets."""
        job = self.jobs_by_id.get(job_id)
        ending = self._suspects.find_ending(job_id, now)
        if job is None or job.has_ended or ending is None:
            return
        self._answer(job, *ending, now)
        self._end(job, now)

    def _accept(self, event: events.JobSubmitted, now: datetime.datetime) -> None:
        request = event.job
        job = jobs.Job(request, event.caller, now)
        job.former_leader = event.former_leader
        self._ranks.record_arrival(request, now)
        self.jobs_by_id[request.id] = job
        self._job_by_caller[event.caller] = job
        self._outbox.note(
            notes.NoteEvent.JOB_TAKEN,
            job=request.id,
            queue=request.queue,
            tasks=request.count,
            patience_ms=notes.to_ms(request.caller_timeout),
            estimate_ms=notes.to_ms(request.estimate),
            size=[list(step.size.as_tuple()) for step in request.steps],
            version=event.configuration_version,
        )
        self._suspects.isolate_known(job, now)
        self._request_for_startable_steps(job, now)

    def _refusal_reason(
        self, request: jobs.JobRequest, known: jobs.Job | None, now: datetime.datetime
    ) -> str | None:
        if not self.accepts_jobs:
            return "the node is draining"
        if known is not None:
            return "runs of the job are still being stopped"
        return self._refusals.reason_for(request, now)

    def caller_left(self, caller: identifiers.CallerId, now: datetime.datetime) -> None:
        """Detach a disconnected caller, and stop its job if no other caller waits for it."""
        self.followed_jobs.caller_left(caller)
        job = self._job_by_caller.pop(caller, None)
        if job is None:
            return
        job.callers.discard(caller)
        self._outbox.note(notes.NoteEvent.CALLER_LEFT, job=job.request.id)
        self.end_if_abandoned(job, now)

    def end_if_abandoned(self, job: jobs.Job, now: datetime.datetime) -> None:
        """Stop a job if no caller waits for its answer at this or any other node."""
        if not job.callers and not job.followers and not job.has_ended:
            self._end(job, now)

    def cancel(self, job_id: identifiers.JobId, now: datetime.datetime) -> None:
        """Cancel a job that this node coordinates, or forward the request to the node that does."""
        job = self.jobs_by_id.get(job_id)
        if job is None:
            leader = self._members.find_leader(job_id, now)
            if leader is not None:
                message = messages.CancelJob(sender=self._own_id, job=job_id)
                self._outbox.send(leader, message)
        elif not job.has_ended:
            self._answer(job, actions.Verdict.CANCELLED, "cancelled by a caller", now)
            self._end(job, now)

    def job_state(self, job_id: identifiers.JobId, now: datetime.datetime) -> JobState | None:
        """Return the state of a job at this or another node, or None if no node has it in progress.

        A job of another node is reported as running.
        """
        job = self.jobs_by_id.get(job_id)
        if job is None:
            is_elsewhere = self._members.find_leader(job_id, now) is not None
            return JobState.RUNNING if is_elsewhere else None
        if job.has_ended:
            return None
        return JobState.RUNNING if job.has_started else JobState.QUEUED

    def has_job(self, job_id: identifiers.JobId, now: datetime.datetime) -> bool:
        """Return whether a job is known to be in progress, followed or being stopped."""
        return (
            job_id in self.jobs_by_id
            or self.followed_jobs.is_followed(job_id)
            or self._members.find_leader(job_id, now) is not None
        )

    def _answer(
        self, job: jobs.Job, verdict: actions.Verdict, reason: str, now: datetime.datetime
    ) -> None:
        took = now - job.arrived_at
        self._outbox.note(
            notes.NoteEvent.JOB_ANSWERED,
            job=job.request.id,
            queue=job.request.queue,
            verdict=verdict.value,
            reason=reason,
            took_ms=notes.to_ms(took),
            objective_ms=notes.to_ms(job.objective()),
            is_late=took > job.objective(),
            done=job.done_count(),
            tasks=job.request.count,
            **self._suspects.fields_for(job.request.id),
        )
        for caller in job.callers:
            self._job_by_caller.pop(caller, None)
        self.answer_callers(job.request.id, job.callers, verdict, reason)
        job.callers.clear()
        self.followed_jobs.notify_followers(job, verdict, reason)

    def answer_callers(
        self,
        job_id: identifiers.JobId,
        callers: set[identifiers.CallerId],
        verdict: actions.Verdict,
        reason: str,
    ) -> None:
        """Answer the callers at this node that wait for a job."""
        retry_after = refusals.RETRY_AFTER if verdict is actions.Verdict.REFUSED else None
        for caller in callers:
            answer = actions.AnswerCaller(
                caller=caller, job=job_id, verdict=verdict, reason=reason, retry_after=retry_after
            )
            self._outbox.add(answer)

    def _end(self, job: jobs.Job, now: datetime.datetime) -> None:
        """Withdraw the requests and stop the runs of a job; remove it once all runs have ended."""
        job.has_ended = True
        for demand in job.demands():
            self._capacity_requester.withdraw(job, demand)
        self.placements.stop(list(job.runs_by_grant.values()), now)
        self._remove_if_settled(job)

    def _remove_if_settled(self, job: jobs.Job) -> None:
        known = self.jobs_by_id.get(job.request.id)
        if job.has_ended and not job.runs_by_grant and known is job:
            del self.jobs_by_id[job.request.id]
            self.followed_jobs.notify_followers(job)

    def handle_elsewhere(self, message: messages.JobElsewhere, now: datetime.datetime) -> None:
        """Follow the node that has a job, and stop what this node has started of it."""
        job = self.jobs_by_id.get(message.job)
        if job is None or job.has_ended or message.leader in (self._own_id, job.former_leader):
            return
        # Two nodes that have started a job and are told of each other must not both stop it.
        if self._own_id < message.leader and not self._may_leave_to(message, job):
            return
        self._outbox.note(
            notes.NoteEvent.JOB_FOLLOWED,
            job=message.job,
            leader=message.leader,
            told_by=message.sender,
        )
        remaining = max(job.deadline - now, datetime.timedelta())
        request = msgspec.structs.replace(job.request, caller_timeout=remaining)
        callers = set(job.callers)
        for caller in callers:
            self._job_by_caller.pop(caller, None)
        job.callers.clear()
        self._end(job, now)
        for caller in callers:
            event = events.JobSubmitted(caller=caller, job=request)
            self.followed_jobs.follow_leader(event, message.leader, now)

    def _may_leave_to(self, message: messages.JobElsewhere, job: jobs.Job) -> bool:
        """Return whether nothing would be lost if this node left a job to the node that tells."""
        if message.sender == message.leader:
            return not job.runs_by_grant and not job.done_count()
        return not job.has_started

    def refer_if_running(self, message: messages.CapacityRequest) -> bool:
        """Refer a node that requests capacity for a job of which runs are in progress here."""
        job = self.jobs_by_id.get(message.job)
        if job is None or job.has_ended or not job.runs_by_grant:
            return False
        if self._own_id in (message.sender, message.former_leader):
            return False
        elsewhere = messages.JobElsewhere(sender=self._own_id, job=message.job, leader=self._own_id)
        self._outbox.send(message.sender, elsewhere)
        return True

    def related_nodes(self) -> set[identifiers.NodeId]:
        """Return the nodes with which this node shares runs, requests or jobs as a coordinator."""
        related = self.placements.owners() | self.followed_jobs.leaders()
        for job in self.jobs_by_id.values():
            related |= job.followers
            for demand in job.demands():
                related |= {node for node, count in demand.requested_by_owner.items() if count}
        return related - {self._own_id}

    # Tasks

    def _request_for_startable_steps(self, job: jobs.Job, now: datetime.datetime) -> None:
        for demand in job.startable_demands():
            self._capacity_requester.request_capacity(job, demand, now)

    def handle_granted(self, message: messages.CapacityGranted, now: datetime.datetime) -> None:
        """Start tasks under the grants received, and release the grants that are not needed."""
        job = self.jobs_by_id.get(message.job)
        if job is None or job.has_ended:
            self._release(message.sender, [grant for grant, _, _ in message.grants])
            return
        demand = job.find_demand(message.step, is_isolated=message.is_isolated)
        unused = []
        granted_tasks = []
        for grant, target, token in message.grants:
            task = _next_task(demand, job, target, now)
            if task is None:
                unused.append(grant)
            else:
                granted_tasks.append((task, grant, target, token))
        self._release(message.sender, unused)
        self._capacity_requester.record_grants(demand, message.sender, len(message.grants))
        if granted_tasks:
            self._start(job, message.sender, granted_tasks, now, is_isolated=demand.is_isolated)
        self._follow_up(job, demand, message, now, has_unused=bool(unused))

    def _follow_up(
        self,
        job: jobs.Job,
        demand: jobs.CapacityDemand,
        message: messages.CapacityGranted,
        now: datetime.datetime,
        *,
        has_unused: bool,
    ) -> None:
        """Withdraw or renew the requests for a step after grants were used."""
        if not demand.waiting_tasks:
            self._capacity_requester.withdraw(job, demand)
        elif demand.is_isolated and job.probation_ends_at(now) is not None:
            self._wait_for_probation(job, demand, now)
        elif has_unused:
            # Granted on targets that all waiting tasks avoid; this request names them.
            self._capacity_requester.request_capacity(job, demand, now)
        elif message.is_short and not demand.is_isolated:
            self._capacity_requester.handle_shortage(job, demand, message.sender, now)

    def _release(self, owner: identifiers.NodeId, unused: list[identifiers.GrantId]) -> None:
        """Return grants to their owner."""
        if unused:
            release = messages.GrantRelease(sender=self._own_id, grants=tuple(unused))
            self._outbox.send(owner, release)

    def _wait_for_probation(
        self, job: jobs.Job, demand: jobs.CapacityDemand, now: datetime.datetime
    ) -> None:
        """Withdraw the requests for isolated tasks while another one has just started."""
        probation_ends_at = job.probation_ends_at(now)
        if probation_ends_at is not None:
            self._capacity_requester.withdraw(job, demand)
            demand.request_all_at = probation_ends_at

    def _start(
        self,
        job: jobs.Job,
        owner: identifiers.NodeId,
        granted_tasks: list[placements.GrantedTask],
        now: datetime.datetime,
        *,
        is_isolated: bool,
    ) -> None:
        job.has_started = True
        self._outbox.note(
            notes.NoteEvent.JOB_PLACED,
            job=job.request.id,
            owner=owner,
            targets=[target for _, _, target, _ in granted_tasks],
            waited_ms=notes.to_ms(now - job.arrived_at),
            still_waiting=job.waiting_count(),
            isolated=is_isolated,
        )
        self.placements.start(job, owner, granted_tasks, now, is_isolated=is_isolated)

    def _run_ended(self, run: jobs.Run, how: runs.RunEnd, now: datetime.datetime) -> None:
        job = run.job
        if job.has_ended:
            self._remove_if_settled(job)
        elif how is runs.RunEnd.DONE:
            self._task_done(run, now)
        else:
            self._requeue_task(run, how, now)

    def _task_done(self, run: jobs.Run, now: datetime.datetime) -> None:
        job, step = run.job, run.task.step
        step.done_count += 1
        if not step.is_done():
            return
        if job.is_done():
            self._answer(job, actions.Verdict.COMPLETE, "", now)
            self._end(job, now)
        else:
            self._request_for_startable_steps(job, now)

    def _requeue_task(self, run: jobs.Run, how: runs.RunEnd, now: datetime.datetime) -> None:
        job, task = run.job, run.task
        if how is runs.RunEnd.FAILED:
            task.attempts += 1
        if how in _ENDS_TO_AVOID_TARGET_AFTER:
            self._avoid_target(run)
        if how in _UNEXPLAINED_ENDS:
            self._suspects.report_lost_run(run, now)
            self.end_if_crashing(job.request.id, now)
            if job.has_ended:
                return
        if how is runs.RunEnd.OLD:
            task.run_number += _RUN_NUMBER_INCREMENT
        if task.attempts >= job.request.max_attempts:
            self._answer(job, actions.Verdict.FAILED, "a task has used up its attempts", now)
            self._end(job, now)
            return
        self.placements.log_requeue(run, how, now)
        self._suspects.put_back(job, task, now)

    def _avoid_target(self, run: jobs.Run) -> None:
        """Exclude a target for a task; start over once every listed target is excluded."""
        run.task.avoided_targets.add(run.target)
        if len(run.task.avoided_targets) >= len(self._target_owner.target_list.by_id):
            run.task.avoided_targets.clear()

    # Time

    def tick(self, now: datetime.datetime) -> None:
        """Handle everything that is due.

        That is: refusals, deadlines, capacity requests to more owners, repeated stops and the runs
        of lost owners.
        """
        for job in list(self.jobs_by_id.values()):
            if job.has_ended:
                continue
            if not self._faults.contain("job", job.request.id, self._tick_job, job, now):
                self._abandon(job, now)
        self._faults.contain("runs", "", self.placements.tick, now)
        self._faults.contain("followed jobs", "", self.followed_jobs.tick, now)

    def _abandon(self, job: jobs.Job, now: datetime.datetime) -> None:
        """Answer and end a job whose timers fail, which nothing else would do."""
        verdict = actions.Verdict.GIVEN_UP if job.has_started else actions.Verdict.REFUSED
        job_id = job.request.id
        callers = set(job.callers)
        if not self._faults.contain(
            "answer", job_id, self._answer, job, verdict, _INTERNAL_FAULT, now
        ):
            self.answer_callers(job_id, callers, verdict, _INTERNAL_FAULT)
        self._faults.contain("end of a job", job_id, self._end, job, now)

    def _tick_job(self, job: jobs.Job, now: datetime.datetime) -> None:
        if job.held_count():
            self.end_if_crashing(job.request.id, now)
        if job.has_ended:
            return
        if deadlines.is_deadline_unreachable(job, now):
            self._expire(job, now)
        elif self._is_too_late_to_start(job, now):
            self._refusals.log_no_capacity(job, now)
            self._answer(job, actions.Verdict.REFUSED, refusals.NO_ROOM, now)
            self._end(job, now)
        else:
            self._suspects.tick(job, now)
            self._capacity_requester.tick(job, now)

    def refuse_unplaceable(self, now: datetime.datetime) -> None:
        """Refuse at once the waiting jobs that no target in use can run any more."""
        for job in list(self.jobs_by_id.values()):
            if job.has_ended or job.has_started:
                continue
            reason = self._refusals.reason_for(job.request, now)
            if reason is not None:
                self._answer(job, actions.Verdict.REFUSED, reason, now)
                self._end(job, now)

    def _is_too_late_to_start(self, job: jobs.Job, now: datetime.datetime) -> bool:
        if job.has_started or not self._ranks.refuses_late_jobs:
            return False
        return now >= deadlines.refusal_time(job)

    def _expire(self, job: jobs.Job, now: datetime.datetime) -> None:
        verdict = actions.Verdict.GIVEN_UP if job.has_started else actions.Verdict.REFUSED
        self._answer(job, verdict, "not done before the caller's deadline", now)
        self._end(job, now)

    def has_work_in_progress(self) -> bool:
        """Tell whether jobs are in progress here, or callers here wait for jobs of other nodes."""
        return bool(self.jobs_by_id) or self.followed_jobs.has_waiting_callers()

    def queued_count(self, queue: identifiers.QueueName) -> int:
        """Return the number of jobs of a queue that have not started."""
        return sum(
            job.request.queue == queue and not job.has_started and not job.has_ended
            for job in self.jobs_by_id.values()
        )


def _next_task(
    demand: jobs.CapacityDemand,
    job: jobs.Job,
    target: identifiers.TargetId,
    now: datetime.datetime,
) -> jobs.Task | None:
    """Remove and return the next waiting task that may run on a target, or None."""
    if demand.is_isolated and job.probation_ends_at(now) is not None:
        return None
    for position in range(len(demand.waiting_tasks) - 1, -1, -1):
        if target not in demand.waiting_tasks[position].avoided_targets:
            return demand.waiting_tasks.pop(position)
    return None
