"""Placement policies, which choose the target on which a waiting task is started.

A policy registers itself under its name with :func:`register`; settings select it.
"""

import datetime
import random
from collections.abc import Callable, Sequence
from typing import Protocol

from chiveridge_kernel import (
    actions,
    errors,
    events,
    jobs,
    members,
    peers,
    reaches,
    starts_in_progress,
    targets,
    vms,
)


class TaskStarter(Protocol):
    """The interface that a policy uses to start tasks, send messages and read the node's tables."""

    rng: random.Random
    starts_in_progress: starts_in_progress.StartsInProgress
    start_counts_by_target: dict[str, int]
    outbox: list[actions.Action]
    target_table: targets.TargetTable
    members: members.MemberTable
    reach: reaches.Reach

    def start(self, task: jobs.Task, vm: vms.Vm, now: datetime.datetime) -> None:
        """Start a waiting task on a target."""
        ...

    def usable_targets(self, job: jobs.Job, task: jobs.Task) -> Sequence[vms.Vm]:
        """Return the targets that may be sent the task now."""
        ...


class Policy:
    """Base class of placement policies; most of its hooks do nothing by default."""

    def __init__(self, starter: TaskStarter):
        self.starter = starter

    def place_tasks(self, job: jobs.Job, now: datetime.datetime) -> None:
        """Place the waiting tasks of a job, now or when targets become free."""
        raise NotImplementedError

    def handle_start_end(
        self,
        task: jobs.Task,
        vm: vms.Vm,
        report: events.LeaseReported | None,
        now: datetime.datetime,
    ) -> None:
        """Handle the end of a start on a target; ``report`` is None when the start was given up."""

    def handle_job_end(self, job: jobs.Job, now: datetime.datetime) -> None:
        """Handle that a job no longer has waiting tasks."""

    def handle_target_changes(self, waiting: list[jobs.Job], now: datetime.datetime) -> None:
        """Handle a change of the usable targets; ``waiting`` are the jobs with waiting tasks."""
        for job in waiting:
            self.place_tasks(job, now)

    def handle_probe_result(self, event: events.TargetProbed, now: datetime.datetime) -> None:
        """Handle the result of a probe of a target."""

    def handle_message(self, message: peers.PeerMessage, now: datetime.datetime) -> None:
        """Handle a message from another node."""

    def handle_tick(self, now: datetime.datetime) -> None:
        """Handle a tick of the clock."""

    def next_wakeup_at(self) -> datetime.datetime | None:
        """Return when the policy needs its next tick, or None."""
        return None

    def flush(self) -> None:
        """Send the messages that were collected to be sent together."""


_policies_by_name: dict[str, type[Policy]] = {}


def register(name: str) -> Callable[[type[Policy]], type[Policy]]:
    """Return a decorator that registers a policy class under a name."""

    def add(policy: type[Policy]) -> type[Policy]:
        _policies_by_name[name] = policy
        return policy

    return add


def names() -> list[str]:
    """Return the names of the registered policies."""
    return sorted(_policies_by_name)


def create(name: str, starter: TaskStarter) -> Policy:
    """Create the policy registered under a name.

    :raises errors.ChiveridgeError: if no policy is registered under the name.
    """
    if name not in _policies_by_name:
        raise errors.ChiveridgeError(f"placement policy {name!r} is not one of {names()}")
    return _policies_by_name[name](starter)


class ImmediatePolicy(Policy):
    """Base class of policies that send every task at once and let the targets queue tasks."""

    def choose(self, candidates: Sequence[vms.Vm]) -> vms.Vm:
        """Choose one of the usable targets."""
        raise NotImplementedError

    def place_tasks(self, job: jobs.Job, now: datetime.datetime) -> None:
        """Start every waiting task that has a usable target."""
        for task in list(job.waiting):
            candidates = self.starter.usable_targets(job, task)
            if candidates:
                self.starter.start(task, self.choose(candidates), now)


@register("random")
class RandomPolicy(ImmediatePolicy):
    """Chooses uniformly at random."""

    def choose(self, candidates: Sequence[vms.Vm]) -> vms.Vm:
        """Choose each target with equal probability."""
        return self.starter.rng.choice(candidates)


@register("round_robin")
class RoundRobinPolicy(ImmediatePolicy):
    """Chooses the usable targets in turn."""

    def __init__(self, starter: TaskStarter):
        super().__init__(starter)
        self._turn = 0

    def choose(self, candidates: Sequence[vms.Vm]) -> vms.Vm:
        """Choose the next target in turn."""
        self._turn += 1
        return candidates[self._turn % len(candidates)]


@register("power_of_two")
class PowerOfTwoPolicy(ImmediatePolicy):
    """Chooses the less loaded of two random targets by this node's own starts in progress."""

    def choose(self, candidates: Sequence[vms.Vm]) -> vms.Vm:
        """Choose the target with fewer starts in progress of two drawn at random."""
        first = self.starter.rng.choice(candidates)
        second = self.starter.rng.choice(candidates)
        counts = self.starter.start_counts_by_target
        if counts.get(second.name, 0) < counts.get(first.name, 0):
            return second
        return first
