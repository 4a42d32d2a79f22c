"""Enforces the limits of teams on their starts in progress by holding back tasks.

A limit applies per failure domain. One live node of the domain, chosen by hashing, is its allocator
and divides it among the nodes; see ``docs/design/limits.md``.
"""

import collections
import datetime
from collections.abc import Callable

from chiveridge_kernel import (
    clocks,
    errors,
    identifiers,
    jobs,
    limit_allocators,
    limit_batches,
    limit_grants,
    limit_messages,
    limit_senders,
    limit_shares,
    limit_takeovers,
    members,
    results,
)

MAX_QUEUED_PER_START = 8
RETRY_AFTER_MS = 1000

LimitOf = Callable[[identifiers.TeamName], int | None]


class Limiter:
    """Admits tasks of limited teams to placement; tasks of other teams pass without overhead.

    :meth:`admit_tasks` returns the jobs of which tasks were admitted later.
    """

    def __init__(
        self,
        member_table: members.MemberTable,
        incarnation: identifiers.Incarnation,
        send: limit_senders.Send,
    ):
        self.find_limit: LimitOf = _no_limit
        self._members = member_table
        self._incarnation = incarnation
        self._next_report_at: datetime.datetime | None = None
        self._shares_by_team: dict[identifiers.TeamName, limit_shares.LimitShare] = {}
        self._sender = limit_senders.LimitSender(
            member_table, incarnation, self._shares_by_team, send
        )
        self._allocators_by_team: dict[identifiers.TeamName, limit_allocators.LimitAllocator] = {}
        self._jobs_by_team: dict[identifiers.TeamName, collections.deque[jobs.Job]] = {}
        self._changed_teams: set[identifiers.TeamName] = set()
        self._allocator_selector = limit_allocators.AllocatorSelector(member_table)
        self.takeovers = limit_takeovers.Takeovers(
            member_table, incarnation, self._allocator_selector, self._allocators_by_team
        )
        self._handled_version = -1

    @property
    def bytes_per_second(self) -> float:
        """Bytes per second that limit messages may use, headers included."""
        return self._sender.outbox.bytes_per_second

    @bytes_per_second.setter
    def bytes_per_second(self, value: float) -> None:
        self._sender.outbox.bytes_per_second = value

    def hold_excess_tasks(self, job: jobs.Job, now: datetime.datetime) -> None:
        """Hold back the tasks of a new job that exceed its team's limit.

        :raises errors.RefusedError: when too many tasks of the team are held back already.
        """
        limit = self.find_limit(job.team)
        if limit is None:
            return
        share = self._get_or_add_share(job.team)
        if share.wanted >= limit * MAX_QUEUED_PER_START:
            message = f"team {job.team!r} has {share.wanted} tasks waiting for its limit of {limit}"
            raise errors.RefusedError(results.ResultCode.QUOTA_EXCEEDED, message, RETRY_AFTER_MS)
        job.held_tasks.extend(job.waiting)
        job.waiting.clear()
        share.wanted += len(job.held_tasks)
        self._jobs_by_team.setdefault(job.team, collections.deque()).append(job)
        self._admit_team_tasks(job.team, now)
        self._changed_teams.add(job.team)

    def requeue_task(self, task: jobs.Task) -> bool:
        """Hold back a task that was not started; return whether its team has a limit."""
        share = self._shares_by_team.get(task.job.team)
        if share is None or self.find_limit(task.job.team) is None:
            return False
        job = task.job
        queue = self._jobs_by_team.setdefault(job.team, collections.deque())
        if not job.held_tasks:
            queue.appendleft(job)
        job.held_tasks.append(task)
        share.wanted += 1
        self._changed_teams.add(job.team)
        return True

    def release_task(self, task: jobs.Task) -> None:
        """Release the start of an admitted task that has ended or will not start."""
        if task.counts_toward_limit:
            task.counts_toward_limit = False
            self._shares_by_team[task.job.team].in_use -= 1
            self._changed_teams.add(task.job.team)

    def remove_held_tasks(self, job: jobs.Job) -> list[jobs.Task]:
        """Remove the tasks of a job that are held back, and return them."""
        tasks = list(job.held_tasks)
        job.held_tasks.clear()
        if tasks:
            self._shares_by_team[job.team].wanted -= len(tasks)
            self._changed_teams.add(job.team)
        return tasks

    def admit_tasks(self, now: datetime.datetime) -> list[jobs.Job]:
        """Admit held tasks where starts are free, and send messages; return the jobs to place."""
        admitted_jobs: list[jobs.Job] = []
        while self._changed_teams:
            team = self._changed_teams.pop()
            if team not in self._shares_by_team:
                continue
            admitted_jobs.extend(self._admit_team_tasks(team, now))
            share = self._shares_by_team[team]
            if share.is_idle():
                share.next_report_at = min(
                    share.next_report_at, now + limit_shares.IDLE_REPORT_DELAY
                )
            elif share.next_report_at <= now:
                self._send_report(team, share, now)
            self._next_report_at = min(
                self._next_report_at or share.next_report_at, share.next_report_at
            )
        self._sender.flush(now)
        return admitted_jobs

    def tick(self, now: datetime.datetime) -> None:
        """Send due reports and report requests, and drop idle shares."""
        for node, grant in self.takeovers.update(self.find_limit, now):
            self._deliver_grant(node, grant, now, is_urgent=True)
        if self._next_report_at is None:
            return
        if now < self._next_report_at and self._handled_version == self._members.version:
            return
        self._handled_version = self._members.version
        self._sender.update_scale(
            {
                team: allocator.holder_count() - 1
                for team, allocator in self._allocators_by_team.items()
            }
        )
        for team, share in list(self._shares_by_team.items()):
            self._follow_allocator(team, share, now)
            if share.next_report_at > now:
                continue
            self._send_report(
                team, share, now, is_urgent=share.last_grant_key == limit_shares.NO_GRANT_KEY
            )
            if self._may_drop_share(team, share, now):
                del self._shares_by_team[team]
                self._jobs_by_team.pop(team, None)
            else:
                self._changed_teams.add(team)
        report_times = (share.next_report_at for share in self._shares_by_team.values())
        self._next_report_at = min(report_times, default=None)

    def next_wakeup_at(self) -> datetime.datetime | None:
        """Return when the next report or request is due or a pending message may be sent."""
        wakeup_times = (
            self._next_report_at,
            self._sender.outbox.next_send_at(),
            self.takeovers.next_request_at(),
        )
        return clocks.earliest(wakeup_times)

    def handle_batch(self, batch: limit_messages.LimitBatch, now: datetime.datetime) -> None:
        """Handle the reports and grants from another node."""
        for report in limit_batches.unpack_reports(batch):
            self.handle_report(report, now)
        for grant in limit_batches.unpack_grants(batch):
            self.handle_grant(grant, now)

    def handle_report(self, report: limit_grants.LimitReport, now: datetime.datetime) -> None:
        """Answer a holder's report if this node is the allocator of the team's limit."""
        limit = self.find_limit(report.team)
        if (
            limit is None
            or self._allocator_selector.allocator_for(report.team) != self._members.own_name
        ):
            self._allocators_by_team.pop(report.team, None)
            return
        allocator = self._allocators_by_team.get(report.team)
        if allocator is None:
            allocator = self.takeovers.start_allocator(
                report.team, self._sender.lease_duration(), now
            )
        was_in_grace_period = allocator.is_in_grace_period(now)
        for node, grant in allocator.handle_report(report, limit, now):
            self._deliver_grant(node, grant, now, is_urgent=was_in_grace_period)

    def reset_after_pause(self) -> None:
        """Drop all grants received earlier, and end all allocators, as their reports are outdated.

        Called after this process was paused: other nodes may have reclaimed its shares and
        chosen other allocators.
        """
        for team, share in self._shares_by_team.items():
            share.drop_grant()
            self._changed_teams.add(team)
        self.takeovers.end_all()

    def handle_grant(self, grant: limit_grants.LimitGrant, now: datetime.datetime) -> None:
        """Apply a grant of the allocator, or answer a report request of a new allocator."""
        if grant.sequence == limit_grants.REPORT_REQUEST_SEQUENCE:
            self._handle_report_request(grant, now)
            return
        share = self._shares_by_team.get(grant.team)
        is_for_this_process = grant.holder_incarnation == self._incarnation
        if share is not None and is_for_this_process and grant.sender == share.allocator_name:
            share.apply_grant(grant)
            self._changed_teams.add(grant.team)

    def _handle_report_request(
        self, request: limit_grants.LimitGrant, now: datetime.datetime
    ) -> None:
        """Report to a new allocator.

        A request from a node that is not the allocator here is ignored, because it is repeated.
        """
        if request.sender != self._allocator_selector.allocator_for(request.team):
            return
        share = self._get_or_add_share(request.team)
        self._follow_allocator(request.team, share, now)
        share.handle_report_request(request)
        self._send_report(request.team, share, now, is_urgent=True)

    def _admit_team_tasks(
        self, team: identifiers.TeamName, now: datetime.datetime
    ) -> list[jobs.Job]:
        share = self._shares_by_team[team]
        queue = self._jobs_by_team.get(team, collections.deque())
        free = share.wanted if self.find_limit(team) is None else share.free_starts(now)
        admitted_jobs = []
        while queue and free > 0:
            job = queue[0]
            count = min(free, len(job.held_tasks))
            for _ in range(count):
                self._admit_one(share, job)
            free -= count
            if count:
                admitted_jobs.append(job)
            if not job.held_tasks:
                queue.popleft()
        return admitted_jobs

    def _admit_one(self, share: limit_shares.LimitShare, job: jobs.Job) -> None:
        task = job.held_tasks.popleft()
        task.counts_toward_limit = True
        job.waiting.append(task)
        share.in_use += 1
        share.wanted -= 1

    def _get_or_add_share(self, team: identifiers.TeamName) -> limit_shares.LimitShare:
        share = self._shares_by_team.get(team)
        if share is None:
            share = limit_shares.LimitShare(
                allocator_name=self._allocator_selector.allocator_for(team)
            )
            self._shares_by_team[team] = share
        return share

    def _follow_allocator(
        self, team: identifiers.TeamName, share: limit_shares.LimitShare, now: datetime.datetime
    ) -> None:
        allocator_name = self._allocator_selector.allocator_for(team)
        if allocator_name != share.allocator_name:
            share.change_allocator(allocator_name, now)
        if allocator_name == self._members.own_name and team not in self._allocators_by_team:
            share.next_report_at = now

    def _may_drop_share(
        self, team: identifiers.TeamName, share: limit_shares.LimitShare, now: datetime.datetime
    ) -> bool:
        """Return whether a share is idle, has no valid grant and has been reported as such."""
        has_no_valid_grant = share.allowed == 0 or now >= share.valid_until
        has_queued_report = self._sender.outbox.has_report(share.allocator_name, team)
        return (
            share.is_idle()
            and has_no_valid_grant
            and not has_queued_report
            and share.next_report_at > now
        )

    def _send_report(
        self,
        team: identifiers.TeamName,
        share: limit_shares.LimitShare,
        now: datetime.datetime,
        *,
        is_urgent: bool = False,
    ) -> None:
        """Report to the allocator: directly if it is this node, otherwise through the outbox."""
        if share.allocator_name == self._members.own_name:
            sequence = self._sender.next_sequence()
            self.handle_report(self._sender.make_report(team, now, sequence), now)
        else:
            share.record_queued_report(now, self._sender.lease_duration())
            self._sender.outbox.add_report(share.allocator_name, team, is_urgent=is_urgent)

    def _deliver_grant(
        self,
        node: identifiers.NodeName,
        grant: limit_grants.LimitGrant,
        now: datetime.datetime,
        *,
        is_urgent: bool,
    ) -> None:
        if node == self._members.own_name:
            self.handle_grant(grant, now)
        else:
            self._sender.outbox.add_grant(node, grant, is_urgent=is_urgent)


def _no_limit(team: identifiers.TeamName) -> int | None:
    return None
