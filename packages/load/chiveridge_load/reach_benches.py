"""Measures the cost of reach, the targets that a team may use, at several sizes.

``python -m chiveridge_load.reach_benches`` prints one line of JSON for each size.
"""

import random
import sys
import time
import tracemalloc

import msgspec
from absl import app, flags

from chiveridge_kernel import (
    configurations,
    identifiers,
    messages,
    reaches,
    records,
    snapshots,
    vms,
)

DOMAINS = 16
SELECTORS = ("", "kind=dryer", "domain in (domain-1, domain-2), kind", "zone!=zone-3")
CHANGES_PER_DAY = 1_400
TASKS = 100_000
TASK_REPEATS = 3

_TARGETS = flags.DEFINE_list("targets", ["24", "256", "4100"], "Numbers of targets to measure.")
_TEAMS = flags.DEFINE_integer("teams", 160, "Number of teams.", lower_bound=1)
_RULES = flags.DEFINE_integer("rules", 300, "Number of rules.", lower_bound=1)
_ROUNDS = flags.DEFINE_integer("rounds", 200, "Number of changes of each kind.", lower_bound=1)
_SEED = flags.DEFINE_integer("seed", 1, "Seed of the random choices.")


class TaskFigures(msgspec.Struct, frozen=True, kw_only=True):
    """Time in microseconds to choose the candidates for one more task of a submission."""

    targets: int
    task_us: float


class ReachFigures(msgspec.Struct, frozen=True, kw_only=True):
    """Cost of queries and changes; the times in microseconds are means, except the slowest change.

    ``query_us`` is the time to choose the candidates for a submission, and ``task_us`` that for
    one more of its tasks. ``target_change_us``, ``team_change_us`` and ``rule_change_us`` are the
    times to apply a change of one object, and ``requery_us`` is the time of all queries of every
    team after it. ``core_share_a_day`` is the share of a core that a day's changes take with their
    queries. ``vm_move_us`` and ``vm_requery_us`` are the times for a change of one listed VM and
    for the queries after it.
    """

    targets: int
    teams: int
    rules: int
    load_ms: float
    task_us: float
    query_us: float
    target_change_us: float
    team_change_us: float
    rule_change_us: float
    slowest_change_us: float
    requery_us: float
    core_share_a_day: float
    vm_move_us: float
    vm_requery_us: float
    memory_mb: float
    snapshot_ms: float
    snapshot_bytes: int
    snapshot_chunks: int


class Bench:
    """A configuration of a given size, with methods that time its changes and queries."""

    def __init__(self, targets: int, teams: int, rules: int, seed: int):
        self.rng = random.Random(seed)
        self.teams = [f"dispatch-team-{number}" for number in range(teams)]
        self.targets = [f"domain-{number % DOMAINS}-t{number}" for number in range(targets)]
        self.rules = [f"rule-{number}" for number in range(rules)]
        self.configuration = configurations.Configuration()
        self.reach = reaches.Reach(self.configuration)
        self._vms_by_name = {name: _make_vm(name) for name in self.targets}
        self._serial = 0

    def publish_all(self) -> None:
        """Publish every object in one change and list the VM of every target."""
        self.reach.replace_vms(self._vms_by_name)
        writes = [self.make_write(records.ObjectKind.TEAM, name) for name in self.teams]
        writes += [self.make_write(records.ObjectKind.TARGET, name) for name in self.targets]
        writes += [self.make_write(records.ObjectKind.RULE, name) for name in self.rules]
        self.apply_writes(writes)

    def make_write(self, kind: records.ObjectKind, name: str) -> records.ObjectWrite:
        """Return a write that gives an object new random fields."""
        value = _MAKERS_BY_KIND[kind](self, name)
        based_on = self.configuration.revision_of(kind, name)
        return records.ObjectWrite(kind=kind, name=name, based_on=based_on, **{kind.value: value})

    def apply_writes(self, writes: list[records.ObjectWrite]) -> float:
        """Apply the writes as one change; return the seconds it took, including decoding."""
        self._serial += 1
        change = records.ChangeRecord(
            change_id=str(self._serial), actor="bench", changed_at="", writes=writes
        )
        value = configurations.encode_change(change)
        started_at = time.perf_counter()
        self.configuration.apply(self.configuration.offset, value)
        self.reach.update(self.configuration.pop_changed_keys())
        return time.perf_counter() - started_at

    def move_target(self, name: str) -> float:
        """List a target's VM at another port; return the seconds that the update of reach took."""
        self._serial += 1
        moved = msgspec.structs.replace(self._vms_by_name[name], port=self._serial)
        self._vms_by_name = {**self._vms_by_name, name: moved}
        started_at = time.perf_counter()
        self.reach.replace_vms(self._vms_by_name)
        return time.perf_counter() - started_at

    def query_all(self) -> float:
        """Run every query of every team; return the seconds it took."""
        started_at = time.perf_counter()
        for team in self.teams:
            for selector in SELECTORS:
                self.reach.candidates(identifiers.TeamName(team), selector)
        return time.perf_counter() - started_at

    def time_tasks(self, count: int) -> float:
        """Return the seconds to choose candidates for a number of tasks of one submission."""
        candidates = self.reach.candidates(identifiers.TeamName(self.teams[0]), SELECTORS[0])
        task = messages.TaskSpec(cores=2, memory_mb=64)
        started_at = time.perf_counter()
        for _ in range(count):
            candidates.fitting_vms(task)
        return time.perf_counter() - started_at

    def make_team(self, name: str) -> records.TeamObject:
        """Return a team in one of eight areas."""
        return records.TeamObject(name=name, labels={"area": f"area-{self.rng.randrange(8)}"})

    def make_target(self, name: str) -> records.TargetObject:
        """Return a target that approves each team with a probability of 0.9."""
        approved = [team for team in self.teams if self.rng.random() < 0.9]
        labels = {
            "domain": name.rpartition("-")[0],
            "kind": "dryer",
            "zone": f"zone-{self.rng.randrange(20)}",
        }
        return records.TargetObject(name=name, labels=labels, approved_teams=approved)

    def make_rule(self, name: str) -> records.RuleObject:
        """Return a rule for one area; the first rule lets every team use every target."""
        if name == self.rules[0]:
            return records.RuleObject(name=name)
        return records.RuleObject(
            name=name,
            teams=f"area=area-{self.rng.randrange(8)}",
            targets=f"kind=dryer, zone in (zone-{self.rng.randrange(20)})",
        )


_MAKERS_BY_KIND = {
    records.ObjectKind.TEAM: Bench.make_team,
    records.ObjectKind.TARGET: Bench.make_target,
    records.ObjectKind.RULE: Bench.make_rule,
}


def _make_vm(name: str) -> vms.Vm:
    return vms.Vm(
        name=name,
        role=vms.VmRole.TARGET,
        domain=name.rpartition("-")[0],
        address="127.0.0.1",
        port=7000,
        memory_mb=65_536,
        cores=64,
    )


def measure_task(targets: int, teams: int, rules: int, seed: int) -> TaskFigures:
    """Measure only the choice of candidates for one more task, as the least of several repeats."""
    bench = Bench(targets, teams, rules, seed)
    bench.publish_all()
    bench.query_all()
    seconds = min(bench.time_tasks(TASKS) for _ in range(TASK_REPEATS))
    return TaskFigures(targets=targets, task_us=round(seconds / TASKS * 1e6, 3))


def measure(targets: int, teams: int, rules: int, rounds: int, seed: int) -> ReachFigures:
    """Measure a configuration of one size."""
    memory_mb = _memory_mb(targets, teams, rules, seed)
    bench = Bench(targets, teams, rules, seed)
    started_at = time.perf_counter()
    bench.publish_all()
    load_s = time.perf_counter() - started_at
    bench.query_all()
    queries = len(bench.teams) * len(SELECTORS)
    query_s = bench.query_all() / queries
    seconds_by_kind, requery_s = _time_changes(bench, rounds)
    move_s, move_requery_s = _time_moves(bench, rounds)
    started_at = time.perf_counter()
    chunks = snapshots.encode(bench.configuration.snapshot())
    snapshot_s = time.perf_counter() - started_at
    means = {kind: sum(times) / len(times) for kind, times in seconds_by_kind.items()}
    mean_change_s = sum(means.values()) / len(means) + requery_s
    return ReachFigures(
        targets=targets,
        teams=teams,
        rules=rules,
        load_ms=round(load_s * 1e3, 1),
        task_us=round(bench.time_tasks(TASKS) / TASKS * 1e6, 3),
        query_us=round(query_s * 1e6, 3),
        target_change_us=round(means[records.ObjectKind.TARGET] * 1e6, 1),
        team_change_us=round(means[records.ObjectKind.TEAM] * 1e6, 1),
        rule_change_us=round(means[records.ObjectKind.RULE] * 1e6, 1),
        slowest_change_us=round(max(map(max, seconds_by_kind.values())) * 1e6, 1),
        requery_us=round(requery_s * 1e6, 1),
        core_share_a_day=round(mean_change_s * CHANGES_PER_DAY / 86_400, 6),
        vm_move_us=round(move_s * 1e6, 1),
        vm_requery_us=round(move_requery_s * 1e6, 1),
        memory_mb=memory_mb,
        snapshot_ms=round(snapshot_s * 1e3, 1),
        snapshot_bytes=sum(len(msgspec.json.encode(chunk)) for chunk in chunks),
        snapshot_chunks=len(chunks),
    )


def _time_changes(bench: Bench, rounds: int) -> tuple[dict[records.ObjectKind, list[float]], float]:
    names_by_kind = {
        records.ObjectKind.TARGET: bench.targets,
        records.ObjectKind.TEAM: bench.teams,
        records.ObjectKind.RULE: bench.rules,
    }
    seconds_by_kind = {kind: [] for kind in names_by_kind}
    requery_s = 0.0
    for _ in range(rounds):
        for kind, names in names_by_kind.items():
            write = bench.make_write(kind, bench.rng.choice(names))
            seconds_by_kind[kind].append(bench.apply_writes([write]))
            requery_s += bench.query_all()
    return seconds_by_kind, requery_s / (rounds * len(names_by_kind))


def _time_moves(bench: Bench, rounds: int) -> tuple[float, float]:
    """Return the mean seconds of a VM's change of port and of all queries after it."""
    moves_s = requeries_s = 0.0
    for _ in range(rounds):
        moves_s += bench.move_target(bench.rng.choice(bench.targets))
        requeries_s += bench.query_all()
    return moves_s / rounds, requeries_s / rounds


def _memory_mb(targets: int, teams: int, rules: int, seed: int) -> float:
    """Return the memory of a configuration after all its queries were run."""
    tracemalloc.start()
    bench = Bench(targets, teams, rules, seed)
    bench.publish_all()
    bench.query_all()
    used, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return round(used / 2**20, 3)


def main(argv: list[str]) -> int:
    """Measure each size and print its figures."""
    del argv
    for text in _TARGETS.value:
        figures = measure(int(text), _TEAMS.value, _RULES.value, _ROUNDS.value, _SEED.value)
        sys.stdout.write(msgspec.json.encode(figures).decode() + "\n")
        sys.stdout.flush()
    return 0


if __name__ == "__main__":
    app.run(main)
