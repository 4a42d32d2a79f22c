"""Soak test of the simulated pool: injects random faults and checks the guarantees.

Usage: ``python -m chiveridge_load.pool_soaks --seeds 100 [--first_seed 1] [--seconds 20]
[--nodes_per_domain 2] [--duplicate_share 0] [--poison_share 0]
[--resets]``

The seed determines the jobs, the faults and their times. Callers behave like those of the
platform: if the connection breaks or the answer is that the job was given up, they send the job
again 1.3 s later to a random node. At the end all faults are removed, and the runs that the
targets recorded are compared with the answers.
"""

import collections
import datetime
import itertools
import random
import sys
from collections.abc import Callable

import msgspec
from absl import app, flags

from chiveridge_load import pool_models, pool_targets
from chiveridge_pool import actions, crash_histories, identifiers, jobs, resources, suspects

RESEND_DELAY = datetime.timedelta(milliseconds=1300)
"""Delay after which a caller without an answer sends its job again, as the users specify it."""

RECOVERY_SECONDS = 14.0
"""Time without faults at the end, longer than a caller needs for all its attempts."""

MAX_POISON_STARTS = 5
"""Starts of a task that crashes its targets: two more after the third, as the users allow."""

_DOMAINS = "abc"
_TARGETS_PER_DOMAIN = 4
_JOBS_PER_SECOND = 12.0
_FAULTS_PER_SECOND = 1.2
_TASK_CPU = 27_000
_MS = datetime.timedelta(milliseconds=1)
_MAX_SENDS = 3


class SentJob(msgspec.Struct):
    """A submitted job, with a caller id for each time that it was sent."""

    request: jobs.JobRequest
    callers: list[identifiers.CallerId]
    has_disconnected: bool = False


class Soak:
    """The soak test of one seed: a simulated pool, its jobs and its faults."""

    def __init__(
        self,
        seed: int,
        nodes_per_domain: int = 2,
        duplicate_share: float = 0.0,
        poison_share: float = 0.0,
        *,
        resets: bool = False,
    ):
        self._faults_by_name = {**_FAULTS, **(_RESET_FAULTS if resets else {})}
        self._duplicate_share = duplicate_share
        self._poison_share = poison_share
        self._rng = random.Random(seed)
        self.model = pool_models.PoolModel(seed)
        for domain in _DOMAINS:
            for number in range(nodes_per_domain):
                self.model.add_node(domain, strength=number % 2)
            for _ in range(_TARGETS_PER_DOMAIN):
                self.model.add_target(domain, clock_rate=self._rng.choice((0.98, 1.0)))
        if poison_share:
            for target in self.model.targets_by_id.values():
                target.restart_time = self._rng.uniform(0.5, 4) * datetime.timedelta(seconds=1)
                target.crashes_silently = self._rng.random() < 0.2
        self.model.boot_all()
        self.sent: list[SentJob] = []
        self.faults: list[str] = []
        self._ids = itertools.count(1)
        self._load_ends_at = self.model.simulation.now

    def play(self, seconds: float) -> list[str]:
        """Run jobs and faults for a number of seconds and return the violations found."""
        self._load_ends_at = self.model.simulation.now + datetime.timedelta(seconds=seconds)
        self._schedule_repeatedly(_JOBS_PER_SECOND, self._submit_new_job)
        self._schedule_repeatedly(_FAULTS_PER_SECOND, self._inject_fault)
        self.model.run(seconds)
        self._end_all_faults()
        self.model.run(RECOVERY_SECONDS)
        return [
            *self._check_runs(),
            *self._check_answers(),
            *self._check_owners(),
            *self._check_crashes(),
        ]

    def _schedule_repeatedly(self, per_second: float, callback: Callable[[], None]) -> None:
        delay = datetime.timedelta(seconds=self._rng.expovariate(per_second))

        def run_and_reschedule() -> None:
            if self.model.simulation.now < self._load_ends_at:
                callback()
                self._schedule_repeatedly(per_second, callback)

        self.model.simulation.call_later(delay, run_and_reschedule)

    # Callers

    def _submit_new_job(self) -> None:
        sent = SentJob(self._new_request(), [])
        self.sent.append(sent)
        if self._duplicate_share and self._rng.random() < self._duplicate_share:
            self._send_over_silent_connection(sent)
        else:
            self._send(sent)
        if self._rng.random() < 0.1:
            disconnect_delay = self._rng.uniform(0.05, 1.0) * datetime.timedelta(seconds=1)
            self.model.simulation.call_later(disconnect_delay, lambda: self._disconnect(sent))

    def _new_request(self) -> jobs.JobRequest:
        run_ms = self._rng.choice((60.0, 200.0, 900.0))
        size = resources.Resources(_TASK_CPU, 64, 0)
        count = self._rng.choice((1, 2, 4, 8))
        step = jobs.StepRequest(
            count=count, size=size, estimate=self._rng.uniform(0.6, 1.5) * run_ms * _MS
        )
        steps = (step,)
        if self._rng.random() < 0.2:
            steps += (msgspec.structs.replace(step, count=1, depends_on=(0,)),)
        spec = f"{run_ms} {size.cpu} {size.memory_mb} 0"
        if self._poison_share and self._rng.random() < self._poison_share:
            spec += f" poison {self._rng.randrange(count)}"
        return jobs.JobRequest(
            id=identifiers.JobId(f"{next(self._ids):016x}"),
            queue=identifiers.QueueName(f"queue-{run_ms:.0f}"),
            service=identifiers.ServiceName("service"),
            spec=spec,
            steps=steps,
            caller_timeout=self._rng.uniform(1500, 3200) * _MS,
            max_attempts=3,
            objective_factor=1.6,
            objective_base=60 * _MS,
        )

    def _send(self, sent: SentJob) -> None:
        if sent.has_disconnected or len(sent.callers) == _MAX_SENDS:
            return
        caller = self._submit(sent)
        self.model.simulation.call_later(50 * _MS, lambda: self._resend_if_needed(sent, caller))

    def _submit(self, sent: SentJob) -> identifiers.CallerId:
        node = self._rng.choice(list(self.model.nodes_by_name.values()))
        caller = self.model.submit(node, sent.request)
        sent.callers.append(caller)
        return caller

    def _send_over_silent_connection(self, sent: SentJob) -> None:
        """Send a job, and again later without an answer, though its node may still have it."""
        caller = self._submit(sent)

        def send_again() -> None:
            if caller not in self.model.answers_by_caller:
                self._send(sent)

        self.model.simulation.call_later(RESEND_DELAY, send_again)

    def _resend_if_needed(self, sent: SentJob, caller: identifiers.CallerId) -> None:
        """Schedule another attempt if the connection broke or the job was given up.

        Without an answer, check again 50 ms later.
        """
        if sent.has_disconnected:
            return
        answer = self.model.answers_by_caller.get(caller)
        is_given_up = answer is not None and answer.verdict is actions.Verdict.GIVEN_UP
        if caller in self.model.broken_callers or is_given_up:
            self.model.simulation.call_later(RESEND_DELAY, lambda: self._send(sent))
        elif answer is None:
            self.model.simulation.call_later(50 * _MS, lambda: self._resend_if_needed(sent, caller))

    def _disconnect(self, sent: SentJob) -> None:
        sent.has_disconnected = True
        for caller in sent.callers:
            if caller not in self.model.answers_by_caller:
                self.model.leave(caller)

    # Faults

    def _inject_fault(self) -> None:
        name = self._rng.choice(sorted(self._faults_by_name))
        duration = datetime.timedelta(seconds=self._rng.uniform(0.2, 5.0))
        end_fault = self._faults_by_name[name](self)
        at_s = (self.model.simulation.now - pool_models.EPOCH).total_seconds()
        self.faults.append(f"{at_s:.2f} s {name} for {duration.total_seconds():.2f} s")
        if end_fault is not None:
            self.model.simulation.call_later(duration, end_fault)

    def _random_node(self) -> pool_models.NodeModel:
        return self._rng.choice(list(self.model.nodes_by_name.values()))

    def _random_target(self) -> pool_targets.TargetModel:
        return self._rng.choice(list(self.model.targets_by_id.values()))

    def _kill_node(self) -> Callable[[], None] | None:
        return self._kill_nodes([self._random_node()])

    def _kill_domain(self) -> Callable[[], None] | None:
        domain = self._rng.choice(_DOMAINS)
        return self._kill_nodes(
            [node for node in self.model.nodes_by_name.values() if node.domain == domain]
        )

    def _kill_nodes(self, nodes: list[pool_models.NodeModel]) -> Callable[[], None] | None:
        killed = [node for node in nodes if node.is_running]
        for node in killed:
            node.kill()

        def end_fault() -> None:
            for node in killed:
                if not node.is_running:
                    node.boot()

        return end_fault

    def _freeze_node(self) -> Callable[[], None] | None:
        node = self._random_node()
        kernel = node.kernel
        node.freeze()

        def end_fault() -> None:
            if node.kernel is kernel and node.is_frozen:
                node.wake()

        return end_fault

    def _drain_node(self) -> Callable[[], None] | None:
        node = self._random_node()
        if node.is_running and not node.is_frozen:
            node.drain()

        def end_fault() -> None:
            if not node.is_running:
                node.boot()

        return end_fault

    def _slow_node(self) -> Callable[[], None] | None:
        node = self._random_node()
        node.slowness = self._rng.uniform(2, 20)

        def end_fault() -> None:
            node.slowness = 1.0

        return end_fault

    def _partition(self, one: str, other: str) -> Callable[[], None]:
        self.model.cut(one, other)
        return lambda: self.model.partitions.discard(frozenset((one, other)))

    def _partition_domains(self) -> Callable[[], None] | None:
        return self._partition(*self._rng.sample(_DOMAINS, 2))

    def _partition_nodes(self) -> Callable[[], None] | None:
        one, other = self._rng.sample(sorted(self.model.nodes_by_name), 2)
        return self._partition(one, other)

    def _partition_target(self) -> Callable[[], None] | None:
        return self._partition(self._random_node().name, self._random_target().target.id)

    def _crash_target(self) -> Callable[[], None] | None:
        self._random_target().crash()
        return None

    def _make_target_unreachable(self) -> Callable[[], None] | None:
        target = self._random_target()
        target.is_dark = True

        def end_fault() -> None:
            target.is_dark = False

        return end_fault

    def _reset_target(self) -> Callable[[], None] | None:
        target = self._random_target()
        target.cut_off()

        def end_fault() -> None:
            target.refuses_connections = False

        return end_fault

    def _reset_replies(self) -> Callable[[], None] | None:
        target = self._random_target()
        target.loses_replies = True

        def end_fault() -> None:
            target.loses_replies = False

        return end_fault

    def _hang_target(self) -> Callable[[], None] | None:
        target = self._random_target()
        target.hangs = True
        target.stand_still()

        def end_fault() -> None:
            target.hangs = False

        return end_fault

    def _fail_target(self) -> Callable[[], None] | None:
        target = self._random_target()
        target.fails = 1.0

        def end_fault() -> None:
            target.fails = 0.0

        return end_fault

    def _delay_commands(self) -> Callable[[], None] | None:
        self.model.late_orders = self._rng.uniform(0.02, 0.2)

        def end_fault() -> None:
            self.model.late_orders = 0.0

        return end_fault

    def _end_all_faults(self) -> None:
        self.model.heal()
        self.model.late_orders = 0.0
        for target in self.model.targets_by_id.values():
            target.is_dark = target.hangs = False
            target.refuses_connections = target.loses_replies = False
            target.fails = 0.0
        for node in self.model.nodes_by_name.values():
            node.slowness = 1.0
            if node.is_running and node.kernel.draining_since is not None:
                node.kill()
            if not node.is_running:
                node.boot()
            elif node.is_frozen:
                node.wake()

    # Checks

    def _check_runs(self) -> list[str]:
        running = [
            task for target in self.model.targets_by_id.values() for task, _ in target._running
        ]
        violations = [f"task {task} ran twice at the same time" for task in self.model.overlaps()]
        return violations + [f"task {task} still runs after the end" for task in running]

    def _check_answers(self) -> list[str]:
        now = self.model.simulation.now
        started = {
            task.partition(".")[0]
            for target in self.model.targets_by_id.values()
            for task, _, _ in target.spans(now)
        }
        violations = []
        for sent in self.sent:
            violations += self._check_job(sent, sent.request.id in started)
        return violations

    def _check_job(self, sent: SentJob, has_started: bool) -> list[str]:
        job = sent.request.id
        answers = [self.model.answers_by_caller.get(caller) for caller in sent.callers]
        unanswered = [
            caller
            for caller, answer in zip(sent.callers, answers, strict=True)
            if answer is None and caller not in self.model.broken_callers
        ]
        violations = []
        if unanswered and not sent.has_disconnected:
            violations.append(f"job {job}: callers {unanswered} have no answer")
        verdicts = {answer.verdict for answer in answers if answer is not None}
        is_refused = None not in answers and verdicts == {actions.Verdict.REFUSED}
        if is_refused and has_started:
            violations.append(f"job {job} was refused and ran")
        if actions.Verdict.COMPLETE in verdicts and not has_started:
            violations.append(f"job {job} is complete and never ran")
        return violations

    def _check_owners(self) -> list[str]:
        owned = [
            target
            for node in self.model.nodes_by_name.values()
            for target in node.kernel.target_owner.owned_tokens()
        ]
        violations = [
            f"target {name} has no owner" for name in self.model.targets_by_id.keys() - owned
        ]
        shared = {target for target in owned if owned.count(target) > 1}
        return violations + [f"target {name} has several owners" for name in sorted(shared)]

    def _check_crashes(self) -> list[str]:
        """Check that crashes under a task are bounded and that no job fails for those of others."""
        starts: collections.Counter[str] = collections.Counter()
        crashed: collections.Counter[str] = collections.Counter()
        for target in self.model.targets_by_id.values():
            starts.update(target.poison_starts)
            crashed.update(target.crashed_runs)
        violations = [
            f"task {task} crashed targets in {count} starts"
            for task, count in starts.items()
            if count > MAX_POISON_STARTS
        ]
        most_crashes_by_job: dict[str, int] = {}
        for task, count in crashed.items():
            job = task.partition(".")[0]
            most_crashes_by_job[job] = max(most_crashes_by_job.get(job, 0), count)
        for answer in self.model.answers_by_caller.values():
            is_failed = answer.reason == suspects.CRASHING_REASON
            if is_failed and most_crashes_by_job.get(answer.job, 0) < crash_histories.MAX_CRASHES:
                violations.append(f"job {answer.job} failed for crashes that were not its own")
        return violations


_FAULTS: dict[str, Callable[[Soak], Callable[[], None] | None]] = {
    "kill a node": Soak._kill_node,
    "kill a domain": Soak._kill_domain,
    "freeze a node": Soak._freeze_node,
    "drain a node": Soak._drain_node,
    "slow a node": Soak._slow_node,
    "cut two domains": Soak._partition_domains,
    "cut two nodes": Soak._partition_nodes,
    "cut a target off": Soak._partition_target,
    "crash a target": Soak._crash_target,
    "darken a target": Soak._make_target_unreachable,
    "hang a target": Soak._hang_target,
    "fail a target": Soak._fail_target,
    "carry orders out late": Soak._delay_commands,
}
"""Fault injectors by name; each returns the function that ends the fault, or None.

A seed draws from the sorted names, so renaming a fault can change what a seed does.
"""

_RESET_FAULTS: dict[str, Callable[[Soak], Callable[[], None] | None]] = {
    "reset a target": Soak._reset_target,
    "reset a target's replies": Soak._reset_replies,
}
"""Cuts by resets; apart from the others, so that seeds without them stay as they were."""


def define_flags() -> None:
    """Define the command line flags."""
    flags.DEFINE_integer("seeds", 100, "Number of seeds to run.", lower_bound=1)
    flags.DEFINE_integer("first_seed", 1, "First seed.")
    flags.DEFINE_integer("nodes_per_domain", 2, "Nodes of each domain.", lower_bound=1)
    flags.DEFINE_float("duplicate_share", 0.0, "Share of the jobs sent again while in progress.")
    flags.DEFINE_float("poison_share", 0.0, "Share of the jobs with a task that crashes targets.")
    flags.DEFINE_bool("resets", False, "Whether targets are also cut off by resets.")
    flags.DEFINE_float("seconds", 20.0, "Duration of the faults, in seconds.", lower_bound=1.0)


def main(argv: list[str]) -> int:
    """Run the seeds and print the violations of each."""
    del argv
    options = flags.FLAGS
    failed_seeds = 0
    for seed in range(options.first_seed, options.first_seed + options.seeds):
        soak = Soak(
            seed,
            options.nodes_per_domain,
            options.duplicate_share,
            options.poison_share,
            resets=options.resets,
        )
        violations = soak.play(options.seconds)
        if violations:
            failed_seeds += 1
            print(
                f"seed {seed}:", *violations, *(f"  {fault}" for fault in soak.faults), sep="\n  "
            )
            sys.stdout.flush()
    print(f"{options.seeds} seeds, {failed_seeds} with violations")
    return 1 if failed_seeds else 0


if __name__ == "__main__":
    define_flags()
    app.run(main)
