import asyncio

import aiohttp
import pytest

from chiveridge_standins import fleets, processes


async def start_task(url: str, key: str) -> int:
    async with aiohttp.request("POST", f"{url}/v1/leases/a", json={"key": key}) as reply:
        return reply.status


async def get(url: str) -> dict:
    async with aiohttp.request("GET", url) as reply:
        return await reply.json()


async def test_runs_a_platform_and_targets():
    plan = fleets.FleetPlan(
        domains={"ikeja": fleets.DomainPlan(nodes=0, targets=3)},
        targets_per_process=2,
        proxied=frozenset({"ikeja-t1"}),
    )
    async with fleets.Fleet(plan) as fleet:
        listed = (await get(f"{fleet.platform_url}/v1/vms"))["vms"]
        assert sorted(vm["name"] for vm in listed) == ["ikeja-t1", "ikeja-t2", "ikeja-t3"]
        assert await fleet.append_change({"type": "change"}) == 0
        target = fleet.targets_by_name["ikeja-t1"]
        assert await start_task(target.url, "k") == 200
        assert (await target.counts()).starts == {"k": 1}
        await target.control(leaving=True)
        assert await start_task(target.url, "k") == 503
        fleet.proxies_by_name["ikeja-t1"].cut()
        with pytest.raises(aiohttp.ClientConnectorError):
            await start_task(target.url, "k")
        await fleet.kill("ikeja-t3")
        fleet.freeze("ikeja-t1")
    assert fleet.exit_codes_by_name == {
        "ikeja-t1-process": 0,
        "ikeja-t3-process": -9,
        "platform": 0,
    }


async def test_terminate_returns_the_exit_code():
    plan = fleets.FleetPlan(domains={})
    async with fleets.Fleet(plan) as fleet:
        async with asyncio.timeout(20):
            assert await fleet.terminate("platform") == 0


async def test_a_process_that_ends_early_shows_its_log(tmp_path):
    process = processes.Process("none", tmp_path / "stderr")
    with pytest.raises(processes.ProcessError, match="No module named"):
        await process.start("chiveridge_no_such_module", [], fleets.NodeListening)
    assert await process.wait() == 1
