"""Targets that a node could not use lately; others may."""

import datetime


class Refusals:
    """Moments until which a target is not lent to a node."""

    def __init__(self):
        self._until_by_target_by_node: dict[str, dict[str, datetime.datetime]] = {}

    def add(self, node: str, target: str, until: datetime.datetime) -> None:
        """Lend a target to a node no more until a moment."""
        self._until_by_target_by_node.setdefault(node, {})[target] = until

    def targets(self, node: str, now: datetime.datetime) -> list[str]:
        """Return the targets that are not lent to a node now."""
        until_by_target = self._until_by_target_by_node.get(node, {})
        return [target for target, until in until_by_target.items() if until > now]

    def forget(self, now: datetime.datetime) -> None:
        """Forget what is over."""
        for node, until_by_target in list(self._until_by_target_by_node.items()):
            active = {target: until for target, until in until_by_target.items() if until > now}
            if active:
                self._until_by_target_by_node[node] = active
            else:
                del self._until_by_target_by_node[node]
