"""Compares what owners prefer with plain placement and with a central queue, on uneven sites."""

import itertools
import pathlib

from absl import app, flags

from chiveridge_load import central_queues, pool_loads, pool_models, pool_sheets
from chiveridge_pool import target_preferences

PLAIN = "plain"
CENTRAL = "central queue"
PREFERENCES_BY_POLICY = {
    PLAIN: frozenset(),
    "speed": frozenset({target_preferences.Preference.SPEED}),
    "separation": frozenset({target_preferences.Preference.SEPARATION}),
    "both": target_preferences.ALL,
}

_HEADER = (
    f"{'sheet':12}{'load':>6}  {'policy':15}{'earned':>8}{'in time':>9}{'p50 ms':>8}{'p99 ms':>9}"
)


class SheetSimulation(pool_loads.LoadSimulation):
    """A simulation of a site whose demand, targets or tasks are uneven."""

    def __init__(
        self,
        sheet: pool_sheets.Sheet,
        load: float,
        seed: int,
        preferences: frozenset[target_preferences.Preference] = target_preferences.ALL,
    ):
        super().__init__(sheet.site, load, seed, preferences=preferences)
        self._sheet = sheet
        self._started_at = self.model.simulation.now
        slowdowns = {frozenset(pair): factor for *pair, factor in sheet.slowdowns}
        speeds = itertools.cycle(sheet.speeds)
        for target in self.model.targets_by_id.values():
            target.speed = next(speeds)
            target.slowdown_beside = slowdowns

    def _elapsed_s(self) -> float:
        return (self.model.simulation.now - self._started_at).total_seconds()

    def _rate(self, kind: pool_loads.JobKind) -> float:
        return super()._rate(kind) * self._sheet.rate_factor(kind.name, self._elapsed_s())

    def _choose_node(self, nodes: list[pool_models.NodeModel]) -> pool_models.NodeModel:
        swing = self._sheet.swing
        if swing is None:
            return super()._choose_node(nodes)
        domains = self._sheet.site.domains
        weights = [
            swing.factor(domains.index(node.domain), len(domains), self._elapsed_s())
            for node in nodes
        ]
        return self._rng.choices(nodes, weights)[0]

    def _tail_factors(self, tasks: int) -> list[float]:
        sheet = self._sheet
        return [
            sheet.tail_factor if self._rng.random() < sheet.tail_share else 1.0
            for _ in range(tasks)
        ]

    def run_centrally(self) -> pool_loads.LoadResult:
        """Return what the callers would have got of one queue for all targets."""
        targets = [
            central_queues.Target(target.speed, target.target.capacity)
            for target in self.model.targets_by_id.values()
        ]
        return self.result_of(central_queues.response_times(self.jobs, targets))


def compare(
    sheet: pool_sheets.Sheet, load: float, seed: int, seconds: float
) -> dict[str, pool_loads.LoadResult]:
    """Return what callers get on one load, by policy; the bound is that of the same jobs."""
    results = {}
    for policy, preferences in PREFERENCES_BY_POLICY.items():
        simulation = SheetSimulation(sheet, load, seed, preferences)
        results[policy] = simulation.run(seconds)
    results[CENTRAL] = simulation.run_centrally()
    return results


def _row(sheet: str, load: float, policy: str, result: pool_loads.LoadResult) -> str:
    return (
        f"{sheet:12}{load:6.2f}  {policy:15}{result.earned_share:8.3f}{result.on_time_share:9.3f}"
        f"{result.p50_ms:8.1f}{result.p99_ms:9.1f}"
    )


def define_flags() -> None:
    """Define the command line flags."""
    flags.DEFINE_list("sheets", list(pool_sheets.BY_NAME), "Sites to play.")
    flags.DEFINE_list("loads", ["0.8", "1.0", "1.3"], "Multiples of the normal load.")
    flags.DEFINE_float("seconds", 20.0, "Duration of the load, in seconds.", lower_bound=0.1)
    flags.DEFINE_integer("seed", 1, "Seed of the random load.")
    flags.DEFINE_string("plots", None, "Directory to which a plot of each load is written.")


def main(argv: list[str]) -> int:
    """Compare the policies on every sheet and load."""
    del argv
    options = flags.FLAGS
    unknown = [name for name in options.sheets if name not in pool_sheets.BY_NAME]
    if unknown:
        raise app.UsageError(f"no such sheet: {', '.join(unknown)}")
    if options.plots:
        # Imported here, as it takes longer than a short comparison.
        from chiveridge_load import plots
    print(_HEADER)
    for name, load in itertools.product(options.sheets, map(float, options.loads)):
        results = compare(pool_sheets.BY_NAME[name], load, options.seed, options.seconds)
        for policy, result in results.items():
            print(_row(name, load, policy, result), flush=True)
        if options.plots:
            print(plots.draw_shares(results, f"{name} {load:g}", pathlib.Path(options.plots)))
    return 0


if __name__ == "__main__":
    define_flags()
    app.run(main)
