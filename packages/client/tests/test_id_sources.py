import datetime

import pytest

from chiveridge_client import clients, errors
from chiveridge_kernel import messages

TASKS = [messages.TaskSpec(), messages.TaskSpec()]


async def test_ids_are_fetched_in_batches(node, clock):
    async with clients.Client([node.url], "t.s", clock=clock, id_batch_size=100) as client:
        for _ in range(50):
            await client.submit(TASKS)
    assert node.issued_count == 100


async def test_ids_that_expire_too_early_are_not_used(node, clock):
    node.id_lifetime = datetime.timedelta(seconds=10)
    async with clients.Client([node.url], "t.s", clock=clock) as client:
        with pytest.raises(errors.UnreachableError, match="expire"):
            await client.submit(TASKS)
    assert node.job_requests == []
