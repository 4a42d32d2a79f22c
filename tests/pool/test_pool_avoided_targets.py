"""Tasks that may not run again on a target on which they had to be stopped."""

import datetime

import pools

from chiveridge_pool import actions


def test_a_task_is_granted_another_target_than_the_one_that_it_avoids():
    """Guards against tasks that wait until their deadline beside a free target.

    The owner used to choose the avoided target again, and the unused grant ended the request.
    """
    model = pools.pool(nodes_per_domain=1, targets_per_domain=2, domains="a")
    ignored = []

    def delays(target, action):
        if isinstance(action, actions.StartRun) and not ignored:
            ignored.append(target)
        return isinstance(action, actions.StartRun) and target in ignored

    model.delays = delays
    caller_timeout = datetime.timedelta(seconds=4)
    request = pools.job("a" * 16, work_ms=100.0, caller_timeout=caller_timeout)
    caller = model.submit(pools.node(model, 1), request)
    model.run(seconds=5)
    assert ignored[0].starts == 0
    assert model.answers_by_caller[caller].verdict is actions.Verdict.COMPLETE
