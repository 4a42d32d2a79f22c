"""Owners that are paused before they read a request to start a run."""

import datetime

import pools
import pytest

from chiveridge_pool import events, messages

MS = datetime.timedelta(milliseconds=1)


@pytest.mark.promise("at_most_once", failures=["freeze"])
@pytest.mark.parametrize(
    ("nodes_per_domain", "targets_per_domain", "domains", "pause_ms"),
    [(1, 1, "ab", 1200), (1, 1, "ab", 2000), (2, 2, "a", 1600)],
)
def test_an_owner_that_was_paused_starts_no_run_that_its_job_has_given_up(
    nodes_per_domain, targets_per_domain, domains, pause_ms
):
    """The request waits unread, and the job's node starts the task elsewhere meanwhile."""
    model = pools.pool(nodes_per_domain, targets_per_domain, domains)
    owner, other = pools.node(model, 1), pools.node(model, 2)
    near = [model.targets_by_id[name] for name in other.kernel.target_owner.owned_tokens()]
    for target in near:
        target.rejects_starts_with = events.Failure.NO_ROOM
    paused = []

    def pause_receiver(sender, receiver, message):
        if isinstance(message, messages.StartRuns) and receiver is owner and not paused:
            paused.append(message)
            owner.freeze()
            model.simulation.call_later(pause_ms * MS, owner.wake)
        return False

    model.drops = pause_receiver
    request = pools.job("a" * 16, 1, 2500.0, caller_timeout=datetime.timedelta(seconds=12))
    model.submit(other, request)
    model.run(seconds=0.05)
    for target in near:
        target.rejects_starts_with = None
    model.run(seconds=6)
    assert paused
    assert model.overlaps() == []
