"""Minions are cut off and run on, some of them again and again, while tasks are started."""

import asyncio
import random

from common import checks, deployment

TASK_S = 0.2
LINK_DELAY_S = 0.0009
CUT_S = 0.8
GAP_S = 0.4
CUTS = 70
CUT_AT_ONCE = 2
MINIONS = 12


def work(body: dict) -> tuple[float, int]:
    return TASK_S, 4_000


async def play(system: deployment.Deployment, trouble: bool) -> list[str]:
    system.configure()
    zones = ("ikeja", "surulere", "lekki")
    for number in range(MINIONS):
        await system.add_minion(
            f"i-{number:02d}", zones[number % 3], work, link_delay_s=LINK_DELAY_S
        )
    for number in range(7):
        system.add_node(zones[number % 3])
    await system.wait_until_ready()

    sending = True

    async def client(node: deployment.Node) -> None:
        while sending:
            body = deployment.job(count=8, cpu=4_000, estimate_ms=200)
            await system.call("POST", node, deployment.job_id(), body)

    clients = [asyncio.create_task(client(node)) for node in system.nodes for _ in range(4)]
    await asyncio.sleep(2)
    for _ in range(CUTS):
        links = random.sample(list(system.links_by_minion.items()), CUT_AT_ONCE)
        if trouble:
            system.record("cut", minions=[name for name, _ in links])
            for _, link in links:
                link.cut()
        await asyncio.sleep(CUT_S)
        if trouble:
            for _, link in links:
                await link.open()
            system.record("cut over")
        await asyncio.sleep(GAP_S)
    sending = False
    await asyncio.gather(*clients)
    served = len(system.record.select("answered", status=200))
    overlaps = checks.find_overlaps(system.record)
    system.record("result", served=served, overlaps=len(overlaps))
    if served < 100:
        raise deployment.CannotRun("hardly any job was served")
    return overlaps


deployment.main(play)
