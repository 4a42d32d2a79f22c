import asyncio
import datetime

import msgspec
import pytest

from chiveridge_client import clients
from chiveridge_kernel import messages, results
from chiveridge_load import deployments
from chiveridge_standins import fleet_plans, fleets

NODES = 3
LIMIT = 4
TASKS_PER_JOB = 10
RUN_MS = 50
DEADLINE = datetime.timedelta(seconds=60)


async def submit(url: str, team: deployments.TeamPlan) -> messages.JobAnswer:
    body = msgspec.Raw(msgspec.json.encode({"run_ms": RUN_MS}))
    async with clients.Client([url], team.credential) as client:
        tasks = [messages.TaskSpec(body=body)] * TASKS_PER_JOB
        return await client.submit(tasks, deadline=DEADLINE)


@pytest.mark.promise("complete_or_failed")
async def test_the_nodes_of_a_domain_enforce_the_limit_of_a_team_together():
    team = deployments.TeamPlan(name="limited-desk", secret="secret", max_starts=LIMIT)
    domain = fleet_plans.DomainPlan(node_count=NODES, target_count=1)
    plan = fleet_plans.FleetPlan(domains={"ikeja": domain}, slots=NODES * TASKS_PER_JOB)
    async with fleets.Fleet(plan) as fleet:
        (target,) = fleet.targets_by_name.values()
        change = deployments.first_change([team], [target.vm.name])
        await fleet.append_config_record(msgspec.to_builtins(change))
        await fleet.wait_ready()
        answers = await asyncio.gather(*(submit(url, team) for url in fleet.node_urls()))
        counts = await target.counts()
    assert [answer.state for answer in answers] == [results.JobState.COMPLETE] * NODES
    assert counts.total_starts == NODES * TASKS_PER_JOB
    assert 1 < counts.max_busy <= LIMIT
