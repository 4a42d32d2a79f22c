"""Lower bound for a run: the same jobs in one ideal central FIFO queue over all slots."""

import heapq

import msgspec

CLIENT_LATENCY_MS = 1.0
"""One-way latency between a client and a node, added to measured and ideal response times."""

CLIENT_ROUND_TRIP_MS = 2 * CLIENT_LATENCY_MS


class Arrival(msgspec.Struct, frozen=True):
    """A job's arrival in seconds from the start of the run, and the run times of its tasks."""

    at_s: float
    run_ms: list[float]


def ideal_ms(run_ms: list[float]) -> float:
    """Return a job's response time on an idle fleet: its longest task plus the round trip."""
    return max(run_ms) + CLIENT_ROUND_TRIP_MS


def ratio(response_ms: float, run_ms: list[float]) -> float:
    """Return the ratio of a response time, given without the client's round trip, to the ideal."""
    return (response_ms + CLIENT_ROUND_TRIP_MS) / ideal_ms(run_ms)


def central_queue_ms(arrivals: list[Arrival], slots: int) -> list[float]:
    """Return the jobs' response times in a central FIFO queue, without the client's round trip.

    Tasks start in the order in which their jobs arrived, each on the first slot to become free.
    """
    free_at_ms = [0.0] * slots
    responses = []
    for arrival in arrivals:
        at_ms = arrival.at_s * 1000
        ended_ms = [_run_on_first_free_slot(free_at_ms, at_ms, run_ms) for run_ms in arrival.run_ms]
        responses.append(max(ended_ms) - at_ms)
    return responses


def central_queue_ratios(arrivals: list[Arrival], slots: int) -> list[float]:
    """Return the ratios of :func:`central_queue_ms` to the ideal; ``arrivals`` are sorted."""
    responses = central_queue_ms(arrivals, slots)
    return [
        ratio(response, arrival.run_ms)
        for response, arrival in zip(responses, arrivals, strict=True)
    ]


def _run_on_first_free_slot(free_at_ms: list[float], at_ms: float, run_ms: float) -> float:
    ended_ms = max(at_ms, free_at_ms[0]) + run_ms
    heapq.heapreplace(free_at_ms, ended_ms)
    return ended_ms
