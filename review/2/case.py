"""An entry that cannot be read stands in the list of minions; then a minion drains."""

import asyncio

from common import deployment

DRAIN_MS = 2000
TASK_S = 0.2
MINIONS = 16
DRAINING = 1
CLIENTS_PER_NODE = 3
UNREADABLE = b'{"service":"dispatch","zone":"ikeja","state":"ready","note":' + b"[" * 4000


def work(body: dict) -> tuple[float, int]:
    return TASK_S, 27_000


async def play(system: deployment.Deployment, trouble: bool) -> list[str]:
    system.configure()
    zones = ("ikeja", "surulere", "lekki")
    for number in range(MINIONS):
        await system.add_minion(f"i-{number:02d}", zones[number % 3], work)
    for zone in zones:
        system.add_node(zone)
    await system.wait_until_ready()

    sending = True

    async def client(node: deployment.Node) -> None:
        while sending:
            await system.call("POST", node, deployment.job_id(), deployment.job(count=4))
            await asyncio.sleep(0.02)

    clients = [
        asyncio.create_task(client(node)) for node in system.nodes for _ in range(CLIENTS_PER_NODE)
    ]
    await asyncio.sleep(2)
    if trouble:
        system.store.put("keyed.servers", "other-writer", UNREADABLE)
        system.record("entry of another writer", bytes=len(UNREADABLE))
    await asyncio.sleep(3)
    draining = system.minions[:DRAINING]
    for minion in draining:
        minion.drain()
    drained_at = system.record.now()
    await asyncio.sleep(8)
    sending = False
    await asyncio.gather(*clients)
    late = [
        row
        for minion in draining
        for row in system.record.select("start", minion=minion.name)
        if row["t"] > drained_at + DRAIN_MS / 1000 + 0.1
    ]
    served = len(system.record.select("answered", status=200))
    system.record("result", served=served, late_starts=len(late))
    if served < 20:
        raise deployment.CannotRun("hardly any job was served")
    if late:
        after = max(row["t"] for row in late) - drained_at
        return [
            f"DRAIN: {len(late)} starts later than drainMs, the last {after:.1f} s after the ack"
        ]
    return []


deployment.main(play)
