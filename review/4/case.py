"""A minion crashes and starts again under its id and address, as one of another kind."""

import asyncio

from common import deployment

TASK_S = 0.15
DOWN_S = 1.0
KINDS = ("a", "b")
MINIONS = 8
CRASHED = 1


def work(body: dict) -> tuple[float, int]:
    return TASK_S, 20_000


async def play(system: deployment.Deployment, trouble: bool) -> list[str]:
    system.configure()
    zones = ("ikeja", "surulere", "lekki")
    for number in range(MINIONS):
        kind = KINDS[number % 2]
        await system.add_minion(f"i-{number:02d}", zones[number % 3], work, kind=kind)
    for zone in zones:
        system.add_node(zone)
    await system.wait_until_ready()

    sending = True

    async def client(node: deployment.Node) -> None:
        while sending:
            body = deployment.job(count=2, cpu=20_000, estimate_ms=150, requirements="a")
            await system.call("POST", node, deployment.job_id(), body)
            await asyncio.sleep(0.05)

    clients = [asyncio.create_task(client(node)) for node in system.nodes for _ in range(3)]
    await asyncio.sleep(2)
    crashing = [minion for minion in system.minions if minion.kind == "a"][:CRASHED]
    for minion in crashing:
        if trouble:
            minion.crash()
            await asyncio.sleep(DOWN_S)
            minion.kind = "b"
            await minion.start()
    await asyncio.sleep(6)
    sending = False
    await asyncio.gather(*clients)
    wrong = system.record.select("start", kind="b")
    served = len(system.record.select("answered", status=200))
    system.record("result", served=served, wrong_starts=len(wrong))
    if served < 20:
        raise deployment.CannotRun("hardly any job was served")
    if wrong:
        up = system.record.select("minion up", minion=wrong[0]["minion"])[-1]["t"]
        return [
            f"ROUTE: {len(wrong)} tasks that require label a were started on a minion of kind b,"
            f" from {wrong[0]['t'] - up:.2f} to {wrong[-1]['t'] - up:.2f} s after its start"
        ]
    return []


deployment.main(play)
