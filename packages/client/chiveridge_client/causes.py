"""Counts why requests were not answered well, from the log lines of all nodes."""

import collections

import msgspec

from chiveridge_client import tables, traces

EXAMPLES = 3
"""Requests named for each cause."""

_ANSWERED_WELL = "answered in time"


class CauseCount(msgspec.Struct, frozen=True):
    """How many requests had one cause, with the first of them."""

    cause: str
    requests: int
    examples: tuple[str, ...]


def count(lines: list[traces.Line]) -> list[CauseCount]:
    """Return the causes of all requests that were not answered in time, most frequent first."""
    log = traces.Log(lines)
    requests_by_cause: dict[str, list[str]] = collections.defaultdict(list)
    for request in log.requests():
        found = log.trace(request)
        if found.cause != _ANSWERED_WELL:
            requests_by_cause[found.cause].append(request)
    counts = [
        CauseCount(cause, len(requests), tuple(requests[:EXAMPLES]))
        for cause, requests in requests_by_cause.items()
    ]
    return sorted(counts, key=lambda found: (-found.requests, found.cause))


def render(counts: list[CauseCount]) -> str:
    """Return the causes as a table."""
    rows = [[found.requests, found.cause, " ".join(found.examples)] for found in counts]
    return tables.render(["REQUESTS", "CAUSE", "FIRST"], rows)
