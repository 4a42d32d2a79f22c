"""The queue of slot requests at an owner: earliest due first, and fair between teams."""

import heapq
import itertools
from collections.abc import Callable

import msgspec

from chiveridge_kernel import identifiers


class Query(msgspec.Struct, frozen=True):
    """What decides on which targets a request can be served."""

    team: identifiers.TeamName
    selector: str
    memory_mb: int = 0
    cores: int = 0
    accelerators: int = 0


class Waiting(msgspec.Struct, kw_only=True, eq=False):
    """A request that still wants slots; ``wanted`` 0 means that it is done or cancelled."""

    node: identifiers.NodeName
    demand_id: int
    query: Query
    arrived_at_ms: int
    due_ms: int
    wanted: int


class SlotQueue:
    """Waiting requests by query; each query's requests are in order of when they are due."""

    def __init__(self):
        self._heaps_by_query: dict[Query, list[tuple[int, int, Waiting]]] = {}
        self._waiting_by_demand: dict[tuple[str, int], Waiting] = {}
        self._order = itertools.count()

    def __len__(self) -> int:
        return len(self._waiting_by_demand)

    def put(self, waiting: Waiting) -> None:
        """Add a request; it replaces an earlier one of the same demand."""
        key = (waiting.node, waiting.demand_id)
        self.cancel(*key)
        if waiting.wanted <= 0:
            return
        self._waiting_by_demand[key] = waiting
        heap = self._heaps_by_query.setdefault(waiting.query, [])
        heapq.heappush(heap, (waiting.due_ms, next(self._order), waiting))

    def cancel(self, node: str, demand_id: int) -> None:
        """Remove a request; an unknown one changes nothing."""
        waiting = self._waiting_by_demand.pop((node, demand_id), None)
        if waiting is not None:
            waiting.wanted = 0

    def drop_node(self, node: str) -> None:
        """Remove every request of a node."""
        for key in [key for key in self._waiting_by_demand if key[0] == node]:
            self.cancel(*key)

    def heads(self) -> list[Waiting]:
        """Return the request of each query that is due first."""
        found = []
        for query in list(self._heaps_by_query):
            head = self._head(query)
            if head is not None:
                found.append(head)
        return found

    def take(self, waiting: Waiting, count: int) -> None:
        """Note that a request was granted slots."""
        waiting.wanted -= count
        if waiting.wanted <= 0:
            self._waiting_by_demand.pop((waiting.node, waiting.demand_id), None)

    def _head(self, query: Query) -> Waiting | None:
        heap = self._heaps_by_query[query]
        while heap and heap[0][2].wanted <= 0:
            heapq.heappop(heap)
        if not heap:
            del self._heaps_by_query[query]
            return None
        return heap[0][2]


def fair_order(heads: list[Waiting], rank: Callable[[str], tuple]) -> list[Waiting]:
    """Order requests by the rank of their teams, those of equal rank by when they are due."""
    if len(heads) < 2:
        return heads
    return sorted(heads, key=lambda head: (rank(head.query.team), head.due_ms))
