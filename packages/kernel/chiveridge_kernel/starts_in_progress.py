"""Counts of the starts that a node has in progress, by target and by team."""

import collections


class StartsInProgress:
    """Counts of starts by target and team; those without starts have no entry."""

    def __init__(self):
        self.count_by_target: dict[str, int] = {}
        self.teams_by_target: dict[str, collections.Counter[str]] = {}

    def add(self, target: str, team: str) -> None:
        """Add a start to the counts."""
        self.count_by_target[target] = self.count_by_target.get(target, 0) + 1
        teams = self.teams_by_target.get(target)
        if teams is None:
            teams = self.teams_by_target[target] = collections.Counter()
        teams[team] += 1

    def remove(self, target: str, team: str) -> None:
        """Remove a start from the counts."""
        teams = self.teams_by_target[target]
        teams[team] -= 1
        if not teams[team]:
            del teams[team]
        self.count_by_target[target] -= 1
        if not self.count_by_target[target]:
            del self.count_by_target[target]
            del self.teams_by_target[target]
