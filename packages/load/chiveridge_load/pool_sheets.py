"""Models of sites whose demand, targets or tasks are uneven, for comparisons of policies."""

import math

import msgspec

from chiveridge_load import pool_loads

_FULL_TURN = 2 * math.pi


class Burst(msgspec.Struct, frozen=True, kw_only=True):
    """A time, in seconds from the start, in which a kind's rate is multiplied by a factor."""

    kind: str
    at_s: float
    for_s: float
    factor: float


class Swing(msgspec.Struct, frozen=True, kw_only=True):
    """A wave of the demand of each failure domain, one after the other."""

    amplitude: float
    period_s: float

    def factor(self, domain: int, domains: int, at_s: float) -> float:
        """Return the demand of a domain relative to its mean."""
        phase = at_s / self.period_s - domain / domains
        return 1 + self.amplitude * math.sin(_FULL_TURN * phase)


class Sheet(msgspec.Struct, frozen=True, kw_only=True):
    """What a site's callers send, and how its targets differ.

    ``speeds`` are given to the targets in turn. ``tail_share`` of the tasks take ``tail_factor``
    times as long. ``slowdowns`` has the factor by which tasks of two kinds take longer beside each
    other.
    """

    name: str
    site: pool_loads.SiteModel
    speeds: tuple[float, ...] = (1.0,)
    tail_share: float = 0.0
    tail_factor: float = 1.0
    bursts: tuple[Burst, ...] = ()
    swing: Swing | None = None
    slowdowns: tuple[tuple[str, str, float], ...] = ()

    def rate_factor(self, kind: str, at_s: float) -> float:
        """Return the rate of a kind's jobs relative to its mean."""
        factors = [
            burst.factor
            for burst in self.bursts
            if burst.kind == kind and burst.at_s <= at_s < burst.at_s + burst.for_s
        ]
        return max(factors, default=1.0)


def _kinds(run_ms: tuple[float, float, float], rates: tuple[float, float, float]):
    names = ("small", "long", "pair")
    return tuple(
        msgspec.structs.replace(kind, name=name, run_ms=mean, per_second=rate)
        for kind, name, mean, rate in zip(pool_loads.LAGOS.kinds, names, run_ms, rates, strict=True)
    )


COMPETING = Sheet(
    name="competing",
    site=pool_loads.SiteModel(
        target_cpus=(16_000, 16_000, 24_000, 16_000) * 3,
        task_cpu=8_000,
        max_task_cpu=12_000,
        kinds=_kinds((60, 900, 200), (22.0, 4.0, 64.0)),
    ),
    bursts=(
        Burst(kind="long", at_s=4.0, for_s=5.0, factor=2.3),
        Burst(kind="small", at_s=12.0, for_s=4.0, factor=1.6),
    ),
)
"""Callers that compete for targets that two tasks fill, with bursts of one kind at a time."""

UNEVEN = Sheet(
    name="uneven",
    site=pool_loads.SiteModel(
        domains=("a", "b", "c", "d"),
        target_cpus=(64_000,) * 9,
        task_cpu=32_000,
        kinds=_kinds((51, 760, 170), (18.5, 3.4, 54.0)),
    ),
    speeds=(0.7, 0.7, 1.7),
    tail_share=0.03,
    tail_factor=7.0,
    swing=Swing(amplitude=0.5, period_s=11.0),
)
"""Targets of three speeds, tasks with a long tail, and demand that moves between the domains."""

DISTURBED = Sheet(
    name="disturbed",
    site=msgspec.structs.replace(UNEVEN.site, domains=("a", "b", "c")),
    slowdowns=(("long", "pair", 1.8),),
)
"""Tasks of two kinds that slow each other down on one target."""

BY_NAME = {sheet.name: sheet for sheet in (COMPETING, UNEVEN, DISTURBED)}
