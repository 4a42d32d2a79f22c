"""Counts of the starts that a node has in progress, by target and by the team they are for."""

import collections


class StartsInProgress:
    """Starts by target; targets and teams without any are not listed."""

    def __init__(self):
        self.count_by_target: dict[str, int] = {}
        self.teams_by_target: dict[str, collections.Counter[str]] = {}

    def began(self, target: str, team: str) -> None:
        """Count a start."""
        self.count_by_target[target] = self.count_by_target.get(target, 0) + 1
        teams = self.teams_by_target.get(target)
        if teams is None:
            teams = self.teams_by_target[target] = collections.Counter()
        teams[team] += 1

    def ended(self, target: str, team: str) -> None:
        """Count a start no more."""
        teams = self.teams_by_target[target]
        teams[team] -= 1
        if not teams[team]:
            del teams[team]
        self.count_by_target[target] -= 1
        if not self.count_by_target[target]:
            del self.count_by_target[target]
            del self.teams_by_target[target]
