import asyncio

import aiohttp
import pytest

from chiveridge_standins import fleet_plans, fleets


async def start_task(url: str, key: str, run_ms: int = 0) -> int:
    body = {"key": key, "run_ms": run_ms}
    async with aiohttp.request("POST", f"{url}/v1/leases/a", json=body) as reply:
        return reply.status


async def get(url: str) -> dict:
    async with aiohttp.request("GET", url) as reply:
        return await reply.json()


async def test_runs_the_platform_and_targets():
    plan = fleet_plans.FleetPlan(
        domains={"ikeja": fleet_plans.DomainPlan(node_count=0, target_count=3)},
        targets_per_process=2,
        proxied_names=frozenset({"ikeja-t1"}),
    )
    async with fleets.Fleet(plan) as fleet:
        listed = (await get(f"{fleet.platform_url}/v1/vms"))["vms"]
        assert sorted(vm["name"] for vm in listed) == ["ikeja-t1", "ikeja-t2", "ikeja-t3"]
        assert await fleet.append_config_record({"type": "change"}) == 0
        target = fleet.targets_by_name["ikeja-t1"]
        assert await start_task(target.url, "k") == 200
        assert (await target.counts()).starts == {"k": 1}
        await target.set_faults(leaving=True)
        assert await start_task(target.url, "k") == 503
        fleet.proxies_by_name["ikeja-t1"].disconnect()
        with pytest.raises(aiohttp.ClientConnectorError):
            await start_task(target.url, "k")
        await fleet.kill("ikeja-t3")
        fleet.pause("ikeja-t1")
    assert fleet.exit_codes_by_name == {
        "ikeja-t1-process": 0,
        "ikeja-t3-process": -9,
        "platform": 0,
    }


async def test_graceful_stops_with_open_requests_exit_with_0():
    plan = fleet_plans.FleetPlan(
        domains={"ikeja": fleet_plans.DomainPlan(node_count=0, target_count=1)}
    )
    async with fleets.Fleet(plan) as fleet:
        target = fleet.targets_by_name["ikeja-t1"]
        url = f"{fleet.platform_url}/v1/streams/s/records?from=0&wait_ms=3600000"
        pending_requests = [asyncio.create_task(start_task(target.url, "k", run_ms=3_600_000))]
        pending_requests.append(asyncio.create_task(get(url)))
        async with asyncio.timeout(30):
            while not (await target.counts()).starts:
                await asyncio.sleep(0.01)
            assert await fleet.terminate("ikeja-t1") == 0
            assert await fleet.terminate("platform") == 0
        await asyncio.gather(*pending_requests, return_exceptions=True)


async def test_an_unknown_name_is_an_error():
    async with fleets.Fleet(fleet_plans.FleetPlan(domains={})) as fleet:
        with pytest.raises(fleets.FleetError, match="no-such"):
            await fleet.kill("no-such")
        with pytest.raises(fleets.FleetError, match="no-such"):
            await fleet.start_node("no-such")
