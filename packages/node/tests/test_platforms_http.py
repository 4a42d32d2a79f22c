import asyncio
import contextlib
import json
import random
import types

import msgspec
import prometheus_client
import pytest
from aiohttp import web

from chiveridge_kernel import (
    actions,
    clocks,
    configurations,
    events,
    followers,
    records,
    snapshots,
    targets,
    vms,
)
from chiveridge_node import metrics, platforms_http, settings

DEEPLY_NESTED_RECORD = b'{"a":' * 5000 + b"1" + b"}" * 5000
TIMEOUT_SECONDS = 10
LONG_OUTAGE_REFUSALS = 1100  # An outage of about 20 minutes at the longest back-off.


class FakeLog:
    """Serves a stream of raw JSON values.

    The next ``replies_to_drop`` appends are stored but get no reply; the first
    ``reads_without_reply`` reads get no reply.
    """

    def __init__(self):
        self.values = []
        self.first = 0
        self.replies_to_drop = 0
        self.reads = 0
        self.reads_without_reply = 0

    def app(self):
        app = web.Application()
        app.router.add_get("/v1/streams/configuration/records", self._read)
        app.router.add_post("/v1/streams/configuration/records", self._append)
        return app

    async def _read(self, request):
        self.reads += 1
        if self.reads <= self.reads_without_reply:
            await asyncio.Event().wait()
        start, limit = int(request.query["from"]), int(request.query["limit"])
        found = list(enumerate(self.values))[start : start + limit] if start >= self.first else []
        texts = [b'{"offset":%d,"value":%s}' % pair for pair in found]
        body = b'{"first":%d,"next":%d,"records":[%s]}'
        body %= (self.first, len(self.values), b",".join(texts))
        await asyncio.sleep(0.01)
        return web.Response(body=body, status=200 if start >= self.first else 410)

    async def _append(self, request):
        self.values.append(await request.read())
        if self.replies_to_drop:
            self.replies_to_drop -= 1
            request.transport.close()
        return web.Response(body=b'{"offset":%d}' % (len(self.values) - 1), status=201)


class FakeKernelRunner:
    """Stands in for the kernel; only follows the log."""

    def __init__(self):
        self.configuration = configurations.Configuration()
        self.follower = followers.Follower(self.configuration)
        self.kernel = types.SimpleNamespace(follower=self.follower)
        self.verdicts = []
        self.performers = {}

    def set_performer(self, action_type, performer):
        self.performers[action_type] = performer

    def handle(self, event):
        if isinstance(event, events.RecordsExpired):
            self.follower.handle_expired(event.first, event.next_offset)
            return
        found = self.follower.process_records(event.records, event.first, event.next_offset)
        self.verdicts += [change.verdict for change in found]


class ZeroDelayRandom(random.Random):
    """Chooses a delay of zero."""

    def uniform(self, low, high):
        super().uniform(low, high)
        return 0.0


def make_node(runner, node_settings):
    platform = metrics.PlatformMetrics(prometheus_client.CollectorRegistry())
    return types.SimpleNamespace(
        runner=runner,
        settings=node_settings,
        rng=random.Random(1),
        metrics=types.SimpleNamespace(platform=platform),
    )


@contextlib.asynccontextmanager
async def serve(app):
    runner = web.AppRunner(app, shutdown_timeout=0.1)
    await runner.setup()
    site = web.TCPSite(runner, "127.0.0.1", 0)
    await site.start()
    yield f"http://127.0.0.1:{site._server.sockets[0].getsockname()[1]}"
    await runner.cleanup()


@pytest.fixture
async def system():
    log = FakeLog()
    async with serve(log.app()) as url:
        section = {"log_url": url, "vms_url": url}
        node_settings = settings.parse({"node": {"name": "e1", "domain": "d"}, "platform": section})
        runner = FakeKernelRunner()
        adapter = platforms_http.HttpLog(make_node(runner, node_settings))
        yield types.SimpleNamespace(log=log, runner=runner, adapter=adapter)
        await adapter.close()


def make_change(name):
    value = records.TeamObject(name=name)
    write = records.ObjectWrite(kind=records.ObjectKind.TEAM, name=name, team=value)
    return configurations.encode_change(
        records.ChangeRecord(change_id=name, actor="ada", changed_at="", writes=[write])
    )


async def wait_until(condition):
    async with asyncio.timeout(TIMEOUT_SECONDS):
        while not condition():
            await asyncio.sleep(0.01)


async def test_a_record_nested_too_deeply_does_not_block_later_records(system):
    system.log.values += [
        make_change("a"),
        DEEPLY_NESTED_RECORD,
        make_change("b"),
        DEEPLY_NESTED_RECORD,
        DEEPLY_NESTED_RECORD,
        make_change("c"),
    ]
    await system.adapter.open()
    await wait_until(lambda: system.runner.configuration.offset == 6)
    assert [verdict.value for verdict in system.runner.verdicts] == [
        "accepted",
        "invalid",
        "accepted",
        "invalid",
        "invalid",
        "accepted",
    ]


@pytest.mark.promise("configuration_in_force", failures=["silent_connection"])
async def test_a_log_read_on_a_silent_connection_times_out_before_the_request_timeout(system):
    system.log.values.append(make_change("a"))
    system.log.reads_without_reply = 1
    await system.adapter.open()
    await wait_until(lambda: system.runner.configuration.offset == 1)
    assert system.log.reads > 1


async def test_a_snapshot_whose_reply_is_lost_is_appended_again_and_read_by_a_late_reader(system):
    full = configurations.Configuration()
    for offset, name in enumerate(("a", "b")):
        system.log.values.append(make_change(name))
        full.apply(offset, system.log.values[-1])
    await system.adapter.open()
    await wait_until(lambda: system.runner.configuration.offset == 2)
    append = system.runner.performers[actions.AppendSnapshot]
    system.log.replies_to_drop = 1
    for count in (1, 2):
        append(actions.AppendSnapshot(snapshot=full.snapshot()))
        await wait_until(lambda expected=count: len(system.log.values) == 2 + expected)
        await wait_until(system.adapter._append_task.done)
    chunks = {json.loads(value)["digest"] for value in system.log.values[2:]}
    assert chunks == {snapshots.encode(full.snapshot())[0].digest}
    system.log.first = 2
    late_runner = FakeKernelRunner()
    system.adapter.runner = late_runner
    await wait_until(lambda: late_runner.configuration.offset == 4)
    assert set(late_runner.configuration.teams_by_name) == {"a", "b"}


class FailOnFirstCall:
    """Raises an unexpected exception on the first call; passes later calls to the runner."""

    def __init__(self, runner):
        self._handle = runner.handle
        self.faults = 0

    def __call__(self, event):
        if not self.faults:
            self.faults += 1
            raise KeyError("unexpected")
        self._handle(event)


@pytest.mark.promise("configuration_in_force", failures=["platform_outage"])
async def test_reading_the_log_continues_after_an_unexpected_exception(system):
    system.runner.handle = faulty = FailOnFirstCall(system.runner)
    system.log.values.append(make_change("a"))
    await system.adapter.open()
    await wait_until(lambda: system.runner.configuration.offset == 1 or system.adapter._task.done())
    assert system.runner.configuration.offset == 1
    assert faulty.faults == system.adapter._faults._value.get() == 1


class FakeVms:
    """Serves prepared replies to reads of the VM list, and records the queries."""

    def __init__(self):
        self.replies = []
        self.queries = []
        self.refusals_left = 0
        self.may_reply = asyncio.Event()
        self.may_reply.set()

    def app(self):
        app = web.Application()
        app.router.add_get("/v1/vms", self._read)
        return app

    async def _read(self, request):
        self.queries.append(dict(request.query))
        if self.refusals_left:
            self.refusals_left -= 1
            return web.Response(status=503)
        await self.may_reply.wait()
        reply = self.replies.pop(0) if self.replies else vms.VmListReply(version=0)
        return web.Response(body=msgspec.json.encode(reply))


class RecordingKernelRunner:
    """Stands in for the kernel; records the events."""

    def __init__(self):
        self.clock = clocks.ManualClock()
        self.kernel = types.SimpleNamespace(target_table=targets.TargetTable())
        self.events = []
        self.observers = {}

    def add_observer(self, event_type, observer):
        self.observers[event_type] = observer

    def handle(self, event):
        self.events.append(event)


@contextlib.asynccontextmanager
async def open_vms_adapter(platform, runner, rng=None):
    async with serve(platform.app()) as url:
        section = {"log_url": url, "vms_url": url, "vms_interval_ms": "1"}
        node_settings = settings.parse({"node": {"name": "e1", "domain": "d"}, "platform": section})
        node = make_node(runner, node_settings)
        node.rng = rng or node.rng
        adapter = platforms_http.HttpVms(node)
        await adapter.open()
        yield node
        await adapter.close()


async def test_list_changes_are_merged_and_a_version_gap_causes_a_full_read():
    vm_a, vm_b = (
        vms.Vm(name=name, role=vms.VmRole.TARGET, domain="d", address="127.0.0.1", port=1)
        for name in "ab"
    )
    platform, runner = FakeVms(), RecordingKernelRunner()
    platform.replies = [
        vms.VmListReply(version=3, vms=[vm_a]),
        vms.VmListReply(version=3, since=3),
        vms.VmListReply(version=5, since=3, vms=[vm_b]),
        vms.VmListReply(version=9, since=8, gone=["a"]),
        vms.VmListReply(version=9, vms=[vm_b]),
    ]
    async with open_vms_adapter(platform, runner) as node:
        await wait_until(lambda: len(platform.queries) > 5)
    now = runner.clock.now()
    assert runner.events[:4] == [
        events.VmsListed(listing=vms.VmList(3, [vm_a]), asked_at=now),
        events.VmsConfirmed(asked_at=now),
        events.VmsListed(listing=vms.VmList(5, [vm_a, vm_b]), asked_at=now),
        events.VmsListed(listing=vms.VmList(9, [vm_b]), asked_at=now),
    ]
    assert node.metrics.platform.vms_bytes._value.get() > 0
    asked = [query.get("since") for query in platform.queries[:6]]
    assert asked == [None, "3", "3", "5", None, "9"]


async def test_a_read_cancelled_by_a_process_pause_is_repeated_without_a_wait():
    platform, runner = FakeVms(), RecordingKernelRunner()
    platform.replies = [vms.VmListReply(version=3), vms.VmListReply(version=4, since=3)]
    async with open_vms_adapter(platform, runner):
        await wait_until(lambda: runner.events)
        platform.may_reply.clear()
        count = len(platform.queries)
        await wait_until(lambda: len(platform.queries) > count)
        runner.observers[events.ProcessPaused](events.ProcessPaused())
        runner.kernel.target_table.mark_list_stale(runner.clock.now())
        await wait_until(lambda: len(platform.queries) > count + 1)
        platform.may_reply.set()
        await wait_until(lambda: len(runner.events) > 1)
    assert platform.queries[count]["wait_ms"] != "0"
    assert platform.queries[count + 1]["wait_ms"] == "0"


@pytest.mark.promise("leaving_target", failures=["silent_connection"])
async def test_a_list_read_on_a_silent_connection_times_out_early():
    platform, runner = FakeVms(), RecordingKernelRunner()
    platform.replies = [vms.VmListReply(version=3)]
    async with open_vms_adapter(platform, runner):
        await wait_until(lambda: runner.events)
        platform.may_reply.clear()
        count = len(platform.queries)
        await wait_until(lambda: len(platform.queries) > count)
        await wait_until(lambda: len(platform.queries) > count + 1)
        platform.may_reply.set()


@pytest.mark.promise("configuration_in_force", failures=["platform_outage"])
async def test_the_list_is_read_again_after_a_long_outage():
    platform, runner = FakeVms(), RecordingKernelRunner()
    platform.refusals_left = LONG_OUTAGE_REFUSALS
    async with open_vms_adapter(platform, runner, ZeroDelayRandom(1)):
        await wait_until(lambda: runner.events)
    assert len(platform.queries) > LONG_OUTAGE_REFUSALS


async def test_a_list_not_reported_because_of_an_exception_is_read_again_and_reported(caplog):
    platform, runner = FakeVms(), RecordingKernelRunner()
    platform.replies = [vms.VmListReply(version=3), vms.VmListReply(version=3)]
    runner.handle = FailOnFirstCall(runner)
    async with open_vms_adapter(platform, runner) as node:
        faults = node.metrics.platform.vms_read_errors
        await wait_until(lambda: runner.events or len(platform.queries) > 2)
        assert faults._value.get() == 1
    expected = events.VmsListed(listing=vms.VmList(3, []), asked_at=runner.clock.now())
    assert runner.events[0] == expected
    assert "since" not in platform.queries[1]
    written = [line for line in caplog.text.splitlines() if "PLATFORM_READ_FAULT" in line]
    assert len(written) == 1
    assert '"kind": "KeyError"' in written[0]
