"""Connections to a target that carry nothing more and report no error."""

import pytest

from chiveridge_kernel import results

CODES = results.ResultCode
NODE = "ikeja-e1"
TARGET = "ikeja-t1"
SETTINGS = {"targets": {"probe_min_ms": "300", "probe_max_ms": "1000"}}


@pytest.mark.promise("complete_or_failed", failures=["silent_connection"])
@pytest.mark.promise("at_most_once", failures=["silent_connection"])
async def test_the_result_of_a_start_is_found_over_a_new_connection(deploy, make_task):
    async with deploy(proxied=frozenset({TARGET}), settings=SETTINGS) as deployed:
        submission = await deployed.submission(NODE, make_task("silent", run_ms=400))
        await deployed.caller.submit(deployed.url(NODE), submission)
        await deployed.wait_started("silent")
        proxy = deployed.fleet.proxies_by_name[TARGET]
        proxy.go_silent()
        silent = proxy.counts.open
        answer = await deployed.caller.ask(deployed.url(NODE), submission.submission_id, 20_000)
        assert (answer.code, silent) == (CODES.COMPLETE, 1)
        after = await deployed.submission(NODE, make_task("after"))
        answer = await deployed.caller.submit(deployed.url(NODE), after, wait_ms=20_000)
        assert answer.code == CODES.COMPLETE
        assert await deployed.starts() == {"silent": 1, "after": 1}


@pytest.mark.promise("complete_or_failed", failures=["silent_connection"])
@pytest.mark.promise("at_most_once", failures=["silent_connection"])
async def test_a_start_that_the_target_never_saw_is_given_up_as_unknown(deploy, make_task):
    async with deploy(proxied=frozenset({TARGET}), settings=SETTINGS) as deployed:
        first = await deployed.submission(NODE, make_task("first"))
        await deployed.caller.submit(deployed.url(NODE), first, wait_ms=20_000)
        deployed.fleet.proxies_by_name[TARGET].go_silent()
        lost = await deployed.submission(NODE, make_task("lost"))
        answer = await deployed.caller.submit(deployed.url(NODE), lost, wait_ms=20_000)
        assert (answer.code, answer.state) == (CODES.OUTCOME_UNKNOWN, "failed")
        assert [task.outcome.value for task in answer.tasks] == ["unknown"]
        assert await deployed.starts() == {"first": 1}
