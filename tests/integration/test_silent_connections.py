"""Connections to a target that stay open but silently drop all traffic."""

import pytest

from chiveridge_kernel import results

CODES = results.ResultCode
NODE = "ikeja-e1"
TARGET = "ikeja-t1"
SETTINGS = {"targets": {"probe_min_ms": "300", "probe_max_ms": "1000"}}


@pytest.mark.promise("complete_or_failed", failures=["silent_connection"])
@pytest.mark.promise("at_most_once", failures=["silent_connection"])
async def test_the_result_of_a_start_is_fetched_over_a_new_connection(deploy, make_task):
    async with deploy(proxied_names=frozenset({TARGET}), settings=SETTINGS) as deployment:
        submission = await deployment.make_submission(NODE, make_task("silent", run_ms=400))
        await deployment.caller.submit(deployment.url(NODE), submission)
        await deployment.wait_started("silent")
        proxy = deployment.fleet.proxies_by_name[TARGET]
        proxy.blackhole()
        silent = proxy.counts.open
        answer = await deployment.caller.get_answer(
            deployment.url(NODE), submission.submission_id, 20_000
        )
        assert (answer.code, silent) == (CODES.COMPLETE, 1)
        after = await deployment.make_submission(NODE, make_task("after"))
        answer = await deployment.caller.submit(deployment.url(NODE), after, wait_ms=20_000)
        assert answer.code == CODES.COMPLETE
        assert await deployment.count_starts() == {"silent": 1, "after": 1}


@pytest.mark.promise("complete_or_failed", failures=["silent_connection"])
@pytest.mark.promise("at_most_once", failures=["silent_connection"])
async def test_a_start_that_never_reached_its_target_ends_as_unknown(deploy, make_task):
    async with deploy(proxied_names=frozenset({TARGET}), settings=SETTINGS) as deployment:
        first = await deployment.make_submission(NODE, make_task("first"))
        await deployment.caller.submit(deployment.url(NODE), first, wait_ms=20_000)
        deployment.fleet.proxies_by_name[TARGET].blackhole()
        lost = await deployment.make_submission(NODE, make_task("lost"))
        answer = await deployment.caller.submit(deployment.url(NODE), lost, wait_ms=20_000)
        assert (answer.code, answer.state) == (CODES.OUTCOME_UNKNOWN, "failed")
        assert [task.outcome.value for task in answer.tasks] == ["unknown"]
        assert await deployment.count_starts() == {"first": 1}
