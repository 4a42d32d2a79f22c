"""The bound of a run: the same jobs through one perfect central FIFO queue over all slots."""

import heapq

import msgspec

CLIENT_TRIP_MS = 1.0
"""One way between a client and a node; added to measured and ideal responses alike."""

CLIENT_TRIPS_MS = 2 * CLIENT_TRIP_MS


class Arrival(msgspec.Struct, frozen=True):
    """A job as it arrived: seconds from the start of the run, and its tasks' run times."""

    at_s: float
    run_ms: list[float]


def ideal_ms(run_ms: list[float]) -> float:
    """Return the response time of a job on an empty fleet: its longest task and the trips."""
    return max(run_ms) + CLIENT_TRIPS_MS


def ratio(response_ms: float, run_ms: list[float]) -> float:
    """Return response over ideal; ``response_ms`` is without the trips to the client."""
    return (response_ms + CLIENT_TRIPS_MS) / ideal_ms(run_ms)


def central_queue_ms(arrivals: list[Arrival], slots: int) -> list[float]:
    """Return the response times, without trips, that a central FIFO queue gives the jobs.

    Tasks start in the order of their jobs' arrival, each on the slot that is free first.
    """
    free_at_ms = [0.0] * slots
    responses = []
    for arrival in arrivals:
        at_ms = arrival.at_s * 1000
        ended_ms = [_run_on_first_free_slot(free_at_ms, at_ms, run_ms) for run_ms in arrival.run_ms]
        responses.append(max(ended_ms) - at_ms)
    return responses


def central_queue_ratios(arrivals: list[Arrival], slots: int) -> list[float]:
    """Return the ratios of :func:`central_queue_ms`; ``arrivals`` are in order of time."""
    responses = central_queue_ms(arrivals, slots)
    return [
        ratio(response, arrival.run_ms)
        for response, arrival in zip(responses, arrivals, strict=True)
    ]


def _run_on_first_free_slot(free_at_ms: list[float], at_ms: float, run_ms: float) -> float:
    ended_ms = max(at_ms, free_at_ms[0]) + run_ms
    heapq.heapreplace(free_at_ms, ended_ms)
    return ended_ms
