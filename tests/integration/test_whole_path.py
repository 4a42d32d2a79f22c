import datetime

import msgspec
import pytest

from chiveridge_client import clients
from chiveridge_kernel import messages, results
from chiveridge_load import deployments
from chiveridge_standins import fleet_plans

DOMAINS = ("ikeja", "lekki")
TASK_COUNT = 12


def make_task(key: str) -> messages.TaskSpec:
    return messages.TaskSpec(body=msgspec.Raw(msgspec.json.encode({"run_ms": 20, "key": key})))


@pytest.mark.promise("complete_or_failed")
async def test_a_job_runs_once_and_its_answer_is_complete(team):
    domain = fleet_plans.DomainPlan(node_count=1, target_count=2)
    plan = fleet_plans.FleetPlan(domains=dict.fromkeys(DOMAINS, domain))
    async with deployments.ready_fleet(plan, [team]) as fleet:
        keys = [f"task-{index}" for index in range(TASK_COUNT)]
        async with clients.Client(fleet.node_urls(), team.credential) as client:
            answer = await client.submit(
                [make_task(key) for key in keys], deadline=datetime.timedelta(seconds=20)
            )
        starts_by_key: dict[str, int] = {}
        for target in fleet.targets_by_name.values():
            starts_by_key.update((await target.counts()).starts)
    assert answer.state is results.JobState.COMPLETE
    assert [result_key(task_answer) for task_answer in answer.tasks] == keys
    assert starts_by_key == dict.fromkeys(keys, 1)
    assert set(fleet.exit_codes_by_name.values()) == {0}


def result_key(answer: messages.TaskAnswer) -> str:
    return msgspec.json.decode(answer.result)["key"]
