"""Simulates a pool under each ranking policy and load, and prints what the callers get."""

import itertools

from absl import app, flags

from chiveridge_load import pool_loads
from chiveridge_pool import ranks

_LOADS = flags.DEFINE_list("loads", ["1.0", "1.3", "1.8"], "Multiples of the normal load.")
_ORDERS = flags.DEFINE_list(
    "orders", [order.value for order in ranks.RankingPolicy], "Ranking policies to compare."
)
_SECONDS = flags.DEFINE_float("seconds", 20.0, "Duration of the load, in seconds.", lower_bound=0.1)
_SEED = flags.DEFINE_integer("seed", 1, "Seed of the random load.")

_HEADER = (
    f"{'order':14}{'load':>6}{'jobs':>7}{'earned':>8}{'in time':>9}{'late':>7}{'refused':>9}"
    f"{'failed':>8}{'after ms':>10}{'p50 ms':>8}{'p99 ms':>9}"
)


def main(argv: list[str]) -> int:
    """Simulate every ranking policy at every load."""
    del argv
    print(_HEADER)
    for load, order in itertools.product(_LOADS.value, _ORDERS.value):
        simulation = pool_loads.LoadSimulation(
            pool_loads.LAGOS, float(load), _SEED.value, ranks.RankingPolicy(order)
        )
        print(_row(order, float(load), simulation.run(_SECONDS.value)))
    return 0


def _row(order: str, load: float, result: pool_loads.LoadResult) -> str:
    earned_by_kind = " ".join(
        f"{name} {share:.2f}" for name, share in result.earned_share_by_kind.items()
    )
    return (
        f"{order:14}{load:6.2f}{result.jobs:7}{result.earned_share:8.3f}{result.on_time_share:9.3f}"
        f"{result.late_share:7.3f}{result.refused_share:9.3f}{result.failed_share:8.3f}"
        f"{result.refusal_time_ms:10.1f}{result.p50_ms:8.1f}{result.p99_ms:9.1f}  {earned_by_kind}"
    )


if __name__ == "__main__":
    app.run(main)
