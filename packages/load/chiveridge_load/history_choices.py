"""The choices that distinguish the histories of one scenario."""

import collections
import random
from collections.abc import Sequence

import msgspec

Plan = tuple[tuple[int, int], ...]
"""The options taken other than the first, as rows of point and option; both count from 0."""

Script = tuple[tuple[str, str], ...]
"""The same by the names of points and options, which other changes of a history do not move."""


class Option(msgspec.Struct, frozen=True):
    """What can happen at a point; ``cost`` is the number of disturbances that it counts as."""

    name: str
    cost: int = 1


class Selection(msgspec.Struct, frozen=True):
    """Which disturbances are explored.

    With ``typical_only``, a single one of those that differ little.
    """

    kinds: frozenset[str]
    typical_only: bool = False


class Choices:
    """Takes the options of a plan, and the first one wherever the plan has none.

    ``points`` holds the costs of the options at each point that the history has passed, and
    ``script`` the names of the options taken other than the first.
    """

    def __init__(self, plan: Plan = ()):
        self._option_by_point = dict(plan)
        self.points: list[tuple[int, ...]] = []
        self.script: Script = ()
        self._count_by_label: collections.Counter[str] = collections.Counter()

    def choose(self, label: str, options: Sequence[Option]) -> Option:
        """Return the option that is taken at the next point; labels are numbered."""
        self._count_by_label[label] += 1
        point = f"{label} #{self._count_by_label[label]}"
        number = self._take(point, options)
        self.points.append(tuple(option.cost for option in options))
        taken = options[number]
        if number:
            self.script += ((point, taken.name),)
        return taken

    def _take(self, point: str, options: Sequence[Option]) -> int:
        """Return the number of the option to take."""
        return self._option_by_point.get(len(self.points), 0)


class ScriptedChoices(Choices):
    """Takes the options that a script names, in its order.

    ``missed`` are those whose points the history has not passed or where they could not be taken.
    """

    def __init__(self, script: Script):
        super().__init__()
        self._option_by_name = dict(script)

    @property
    def missed(self) -> Script:
        """The choices of the script that have not been taken."""
        return tuple(self._option_by_name.items())

    def _take(self, point: str, options: Sequence[Option]) -> int:
        names = [option.name for option in options]
        wanted = self._option_by_name.get(point)
        if wanted not in names:
            return 0
        del self._option_by_name[point]
        return names.index(wanted)


class RandomChoices(Choices):
    """Takes options at random until their cost reaches a limit.

    ``share`` is the probability of an option other than the first.
    """

    def __init__(self, rng: random.Random, disturbances: int, share: float):
        super().__init__()
        self._rng = rng
        self._remaining = disturbances
        self._share = share

    def _take(self, point: str, options: Sequence[Option]) -> int:
        if len(options) < 2 or self._rng.random() >= self._share:
            return 0
        number = self._rng.randrange(1, len(options))
        if options[number].cost > self._remaining:
            return 0
        self._remaining -= options[number].cost
        return number
