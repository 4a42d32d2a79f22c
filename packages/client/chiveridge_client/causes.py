"""Counts the causes of requests not answered in time, from the log lines of all nodes."""

import collections

import msgspec

from chiveridge_client import tables, traces

MAX_EXAMPLES = 3
"""Maximum number of request ids listed for each cause."""

_ANSWERED_IN_TIME = "answered in time"


class CauseCount(msgspec.Struct, frozen=True):
    """Number of requests with one cause, and the ids of the first ones."""

    cause: str
    requests: int
    examples: tuple[str, ...]


def count_causes(lines: list[traces.LogLine]) -> list[CauseCount]:
    """Return the causes of all requests that were not answered in time, most frequent first."""
    log = traces.Log(lines)
    requests_by_cause: dict[str, list[str]] = collections.defaultdict(list)
    for request in log.requests():
        request_trace = log.trace(request)
        if request_trace.cause != _ANSWERED_IN_TIME:
            requests_by_cause[request_trace.cause].append(request)
    counts = [
        CauseCount(cause, len(requests), tuple(requests[:MAX_EXAMPLES]))
        for cause, requests in requests_by_cause.items()
    ]
    return sorted(counts, key=lambda cause_count: (-cause_count.requests, cause_count.cause))


def render(counts: list[CauseCount]) -> str:
    """Return the causes as a table."""
    rows = [
        [cause_count.requests, cause_count.cause, " ".join(cause_count.examples)]
        for cause_count in counts
    ]
    return tables.render(["REQUESTS", "CAUSE", "FIRST"], rows)
