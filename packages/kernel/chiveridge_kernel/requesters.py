"""Nodes whose slot requests an owner has queued, and whether those requests are still valid."""

from chiveridge_kernel import identifiers, member_states, members

_DEPARTED_STATES = frozenset({member_states.MemberState.DEAD, member_states.MemberState.REPLACED})


class RequesterTable:
    """Incarnations of the nodes that requested slots, None while unknown."""

    def __init__(self, member_table: members.MemberTable):
        self._members = member_table
        self._incarnations_by_node: dict[str, identifiers.Incarnation | None] = {}

    def record_request(self, node: str) -> bool:
        """Record a request; return whether earlier ones came from a former incarnation."""
        has_restarted = self._has_restarted(node)
        member = self._members.members_by_name.get(node)
        self._incarnations_by_node[node] = None if member is None else member.incarnation
        return has_restarted

    def pop_departed(self) -> list[str]:
        """Remove and return the nodes that are dead, replaced, restarted or no longer listed."""
        departed = [node for node in self._incarnations_by_node if self._has_departed(node)]
        for node in departed:
            del self._incarnations_by_node[node]
        return departed

    def _has_departed(self, node: str) -> bool:
        member = self._members.members_by_name.get(node)
        if member is None or member.vm is None or member.state in _DEPARTED_STATES:
            return True
        return self._has_restarted(node)

    def _has_restarted(self, node: str) -> bool:
        known_incarnation = self._incarnations_by_node.get(node)
        return known_incarnation is not None and not self._members.is_current(
            node, known_incarnation
        )
