"""A small deployment on loopback addresses: store, minions, and the system's own processes."""

import asyncio
import gc
import json
import os
import pathlib
import random
import shutil
import signal
import subprocess
import sys
import tempfile
import time
import traceback

import aiohttp

from common import links, minions, store, wire

ROOT = pathlib.Path(__file__).resolve().parents[3]
RUN = ("python3", "-m", "chiveridge_platform.mains")
"""The command of ``deploy/system.toml``."""

HOST = "queue.example"
READY_TIMEOUT_S = 30.0


class CannotRun(Exception):
    """The case could not be played; the script exits with 2."""


class Record:
    """Writes what was sent, answered and run to ``record.txt``, one JSON object a line."""

    def __init__(self, path: pathlib.Path):
        self._file = path.open("w", encoding="utf-8")
        self._started_at = time.monotonic()
        self.rows: list[dict] = []

    def now(self) -> float:
        return time.monotonic() - self._started_at

    def __call__(self, what: str, **fields) -> dict:
        row = {"t": round(self.now(), 3), "what": what, **fields}
        self.rows.append(row)
        self._file.write(json.dumps(row) + "\n")
        self._file.flush()
        return row

    def select(self, what: str, **fields) -> list[dict]:
        return [
            row
            for row in self.rows
            if row["what"] == what and all(row.get(key) == value for key, value in fields.items())
        ]


class Node:
    """One process of the system."""

    def __init__(self, record: Record, name: str, ip: str, path: pathlib.Path, ports: dict, log):
        self._record = record
        self.name = name
        self.ip = ip
        self._path = path
        self.frontend = f"{ip}:{ports['frontend']}"
        self.ready = f"{ip}:{ports['ready']}"
        self._log = log
        self.process: subprocess.Popen | None = None

    def start(self) -> None:
        kept = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        self.process = subprocess.Popen(
            RUN,
            cwd=ROOT,
            env=kept | {"CHIVERIDGE_CONFIG": str(self._path), "PYTHONPATH": "target/deps"},
            stdin=subprocess.DEVNULL,
            stdout=self._log,
            stderr=self._log,
        )
        self._record("node started", node=self.name)

    def signal(self, signum: signal.Signals) -> None:
        if self.process is not None and self.process.poll() is None:
            self._record("signal", node=self.name, signal=signum.name)
            self.process.send_signal(signum)

    def end(self) -> None:
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()


class Deployment:
    """The settings follow the example of DEPLOY.md; bounds are those of ``sites/ikd-coop.toml``."""

    def __init__(self, folder: pathlib.Path):
        if not (ROOT / "target" / "deps" / "chiveridge_platform").is_dir():
            raise CannotRun("target/deps is missing: run the build of the deploy file")
        self.record = Record(folder / "record.txt")
        self.store = store.Store()
        self.nodes: list[Node] = []
        self.minions: list[minions.Minion] = []
        self.links_by_minion: dict[str, links.Link] = {}
        self._folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        net = random.randrange(16, 240)
        self._ips = [f"127.{net}.{random.randrange(1, 250)}.{host}" for host in range(1, 30)]
        self._ports = {
            name: wire.free_port() for name in ("frontend", "ready", "controlPlane", "internal")
        }
        self._session: aiohttp.ClientSession | None = None

    async def __aenter__(self) -> "Deployment":
        await self.store.start()
        self._session = aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0))
        return self

    async def __aexit__(self, *_) -> None:
        await self._session.close()
        for node in self.nodes:
            node.end()
        for minion in self.minions:
            if minion._is_up:
                minion._ticker.cancel()
                minion._server.abort()
        for link in self.links_by_minion.values():
            link.close()
        self.store.stop()
        # Streams that are collected after the loop is closed complain about it.
        await asyncio.sleep(0.2)
        gc.collect()
        await asyncio.sleep(0.1)
        self.record("over")
        if os.environ.get("KEEP_LOGS"):
            print(f"logs: {self._folder}")
        else:
            shutil.rmtree(self._folder, ignore_errors=True)

    def configure(self, version: int = 3, **route) -> None:
        """Write the operator's configuration with one queue."""
        self.queue = {
            "name": "fault-log",
            "host": HOST,
            "pathPrefix": "/jobs/",
            "kind": "non_idempotent",
            "service": "dispatch",
            "timeoutMs": 1500,
            "targetLatencyMs": 60,
            "priority": 0,
            "maxAttempts": 2,
            "stretch": 1.6,
        } | route
        services = [{"name": "dispatch", "enforcesCapacity": True}]
        value = {"version": version, "routes": [self.queue], "services": services, "limits": {}}
        self.store.put("keyed.op", "config", value)
        self.record("configuration acknowledged", version=version)

    async def add_minion(
        self, name: str, zone: str, work, *, link_delay_s: float | None = None, **fields
    ) -> minions.Minion:
        """Start a minion, with a link in front of it if its delay is given."""
        minion = minions.Minion(self.store, self.record, name, zone, work, **fields)
        self.minions.append(minion)
        if link_delay_s is not None:
            link = links.Link(minion.address, link_delay_s)
            await link.open()
            minion.listed_address = link.address
            self.links_by_minion[name] = link
        await minion.start()
        return minion

    def add_node(self, zone: str) -> Node:
        number = len(self.nodes) + 1
        ip = self._ips[number - 1]
        name = f"edge-{zone}-{number}"
        ports = self._ports
        settings = {
            "nodeName": name,
            "role": "dispatcher",
            "machineClass": "edge",
            "serves": ["edge", "control"],
            "ip": ip,
            "zone": zone,
            "region": "lagos",
            "zones": {"ikeja": "lagos", "surulere": "lagos", "lekki": "lagos"},
            "listen": {
                "frontend": f"{ip}:{ports['frontend']}",
                "ready": f"{ip}:{ports['ready']}",
                "controlPlane": f"{ip}:{ports['controlPlane']}",
            },
            "internalPorts": [ports["internal"], ports["internal"] + 15],
            "seeds": [f"{self._ips[index]}:{ports['controlPlane']}" for index in range(3)],
            "bootstrap": True,
            "limits": {"cpuShare": 0.537, "cores": 2, "memoryMb": 300, "maxFds": 4100},
            "dataDir": None,
            "discovery": "platform",
            "entry": "vip",
            "heartbeatMs": 1500,
            "contracts": ["base", "drain", "config", "cost", "recover", "sched", "platform"],
            "bounds": {"drainMs": 2000, "graceS": 6, "holdMaxMs": 1000, "remoteFactor": 3},
            "orders": "call",
            "platform": {"address": self.store.address, "form": "log", "writesPerS": 600},
        }
        path = self._folder / f"{name}.yaml"
        path.write_text(json.dumps(settings))
        log = (self._folder / f"{name}.log").open("ab")
        node = Node(self.record, name, ip, path, ports, log)
        self.nodes.append(node)
        node.start()
        return node

    def log_of(self, node: Node) -> str:
        return (self._folder / f"{node.name}.log").read_text(errors="replace")

    async def is_ready(self, node: Node) -> bool:
        """Look at a node's readiness as the load balancer does."""
        try:
            timeout = aiohttp.ClientTimeout(total=1)
            url = f"http://{node.ready}/chiveridge/readyz"
            async with self._session.get(url, timeout=timeout) as response:
                return response.status == 200
        except (aiohttp.ClientError, OSError, TimeoutError):
            return False

    async def wait_until_ready(self) -> None:
        ends_at = time.monotonic() + READY_TIMEOUT_S
        for node in self.nodes:
            while not await self.is_ready(node):
                if time.monotonic() > ends_at:
                    raise CannotRun(
                        f"{node.name} did not become ready: {self.log_of(node)[-2000:]}"
                    )
                await asyncio.sleep(0.1)
        # Two probes of the load balancer, and some heartbeats between the nodes.
        await asyncio.sleep(2.0)

    async def call(
        self,
        method: str,
        node: Node,
        path: str,
        body: dict | None = None,
        deadline_ms: int = 1500,
        prefix: str = "/jobs/",
    ) -> tuple[int, bytes]:
        """Send one request of a client; status 0 stands for no answer or a broken channel."""
        job = path.rsplit("/", 1)[-1]
        self.record("sent", method=method, node=node.name, job=job)
        headers = {
            "Host": HOST,
            "Content-Type": "application/json",
            "X-Deadline-Ms": str(max(int(deadline_ms), 1500)),
            "Connection": "close",
        }
        data = None if body is None else json.dumps(body).encode()
        url = f"http://{node.frontend}{prefix}{path}"
        timeout = aiohttp.ClientTimeout(total=deadline_ms / 1000)
        status, answer, error = 0, b"", ""
        try:
            async with self._session.request(
                method, url, data=data, headers=headers, timeout=timeout
            ) as response:
                answer = await response.read()
                status = response.status
        except TimeoutError:
            error = "no answer within the time budget"
        except (aiohttp.ClientError, OSError) as exception:
            error = f"the channel broke: {type(exception).__name__}"
        self.record(
            "answered",
            method=method,
            node=node.name,
            job=job,
            status=status,
            body=answer.decode(errors="replace"),
            **({"error": error} if error else {}),
        )
        return status, answer


def job_id() -> str:
    return f"{random.getrandbits(64):016x}"


def job(count: int = 2, cpu: int = 27_000, estimate_ms: float = 200, **step) -> dict:
    """Return a job of one step that need not be kept."""
    steps = [{"count": count, "cpu": cpu, "memMb": 64, "estimateMs": estimate_ms, **step}]
    return {"spec": "work", "steps": steps, "bestEffort": True}


def main(play) -> None:
    """Run ``play(deployment, trouble)``, which returns the violations that it has found.

    The first argument is ``run.sh``'s TROUBLE: 0 leaves the disruption out.
    """
    folder = pathlib.Path(sys.argv[0]).resolve().parent
    trouble = sys.argv[1:] != ["0"]

    async def run() -> list[str]:
        async with Deployment(folder) as deployment:
            return await play(deployment, trouble)

    try:
        violations = asyncio.run(asyncio.wait_for(run(), 115))
    except (CannotRun, TimeoutError) as error:
        print(f"the case could not run: {error or type(error).__name__}")
        sys.exit(2)
    except Exception:
        traceback.print_exc()
        sys.exit(2)
    for violation in violations:
        print(violation)
    print("BROKEN" if violations else "held")
    sys.exit(1 if violations else 0)
