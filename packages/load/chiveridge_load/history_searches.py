"""Searches the histories of a scenario, those with fewer disturbances first."""

import collections
import random
from collections.abc import Callable, Iterable, Iterator

import msgspec

from chiveridge_load import history_checks, history_choices, history_plays


class Found(msgspec.Struct):
    """The first history found of a class of violations, and the number of all."""

    violation: history_checks.Violation
    scenario: history_plays.Scenario
    script: history_choices.Script
    disturbances: int
    steps: list[str]
    count: int = 0


class Search:
    """Plays histories up to a number of them, and collects the classes of violations.

    A history that breaks a rule is not disturbed further. ``on_found`` is told of the first one of
    each class.
    """

    def __init__(self, selection: history_choices.Selection, disturbances: int, max_histories: int):
        self._selection = selection
        self._disturbances = disturbances
        self._max_histories = max_histories
        self.played = 0
        self.is_complete = True
        self.found_by_violation: dict[history_checks.Violation, Found] = {}
        self.on_found: Callable[[Found], None] = _ignore

    def explore(self, scenario: history_plays.Scenario) -> None:
        """Play every history of a scenario, by the number of its disturbances."""
        plans_by_cost: list[collections.deque[history_choices.Plan]] = [
            collections.deque() for _ in range(self._disturbances + 1)
        ]
        plans_by_cost[0].append(())
        for cost, plans in enumerate(plans_by_cost):
            while plans:
                if self.played >= self._max_histories:
                    self.is_complete = False
                    return
                plan = plans.popleft()
                choices = history_choices.Choices(plan)
                if not self._play(scenario, choices, cost):
                    for extra, further in _extensions(plan, choices.points):
                        if cost + extra <= self._disturbances:
                            plans_by_cost[cost + extra].append(further)

    def sample(self, scenario: history_plays.Scenario, count: int, seed: int) -> None:
        """Play a number of histories with random disturbances."""
        rng = random.Random(seed)
        for _ in range(count):
            choices = history_choices.RandomChoices(
                rng, self._disturbances, share=rng.choice((0.05, 0.1, 0.2))
            )
            self._play(scenario, choices, self._disturbances)

    def _play(
        self,
        scenario: history_plays.Scenario,
        choices: history_choices.Choices,
        cost: int,
    ) -> bool:
        """Play a history and return whether it has broken a rule."""
        history = history_plays.History(scenario, choices, self._selection)
        history.play()
        self.played += 1
        violations = history_checks.find_violations(history)
        for violation in violations:
            found = Found(violation, scenario, choices.script, cost, history.steps)
            if violation not in self.found_by_violation:
                self.found_by_violation[violation] = found
                self.on_found(found)
            self.found_by_violation[violation].count += 1
        return bool(violations)


def _ignore(found: Found) -> None:
    """Do not report a violation."""


def _extensions(
    plan: history_choices.Plan, points: Iterable[tuple[int, ...]]
) -> Iterator[tuple[int, history_choices.Plan]]:
    """Return the plans with one more option after those of a plan, with the option's cost."""
    first = plan[-1][0] + 1 if plan else 0
    for point, costs in enumerate(points):
        if point >= first:
            for option, cost in enumerate(costs[1:], start=1):
                yield cost, (*plan, (point, option))
