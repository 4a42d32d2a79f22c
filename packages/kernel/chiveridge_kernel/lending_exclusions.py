"""Targets that are temporarily not lent to a node that could not use them."""

import datetime


class LendingExclusions:
    """Times until which a target is not lent to a node; other nodes may still borrow it."""

    def __init__(self):
        self._until_by_target_by_node: dict[str, dict[str, datetime.datetime]] = {}

    def add(self, node: str, target: str, until: datetime.datetime) -> None:
        """Exclude a target from being lent to a node until a time."""
        self._until_by_target_by_node.setdefault(node, {})[target] = until

    def excluded_targets(self, node: str, now: datetime.datetime) -> list[str]:
        """Return the targets that may not be lent to a node now."""
        until_by_target = self._until_by_target_by_node.get(node, {})
        return [target for target, until in until_by_target.items() if until > now]

    def drop_expired(self, now: datetime.datetime) -> None:
        """Drop the exclusions that have expired."""
        for node, until_by_target in list(self._until_by_target_by_node.items()):
            active = {target: until for target, until in until_by_target.items() if until > now}
            if active:
                self._until_by_target_by_node[node] = active
            else:
                del self._until_by_target_by_node[node]
