import asyncio
import contextlib
import datetime
import types

import aiohttp
import pytest

from chiveridge_kernel import actions, clocks, events, vms
from chiveridge_node import settings, targets_http

NOW = datetime.datetime(2026, 1, 1, tzinfo=datetime.UTC)
REPLY = b'{"outcome": "succeeded", "run_ms": 1.5, "result": {"key": "k"}, "busy": 3}'


class FakeKernelRunner:
    """Records the events that the adapter reports."""

    def __init__(self):
        self.clock = clocks.ManualClock(NOW)
        self.reports = asyncio.Queue()
        self.other_events = []
        self.on_other_event = lambda event: None

    def set_performer(self, action_type, performer):
        """Ignore the performer; the tests call the adapter directly."""

    def handle_and_log_errors(self, event):
        """Record outcomes apart from other events, as most tests check only outcomes."""
        if isinstance(event, events.LeaseReported | events.StopConfirmed):
            self.reports.put_nowait(event)
            return
        self.other_events.append(event)
        self.on_other_event(event)


class FakeTarget:
    """Records requests; replies to ``replies_left`` of them, then closes without a reply."""

    def __init__(self, body=REPLY, replies_left=1):
        self.requests = []
        self.connections = 0
        self.port = 0
        self.received = asyncio.Event()
        self.replying = asyncio.Event()
        self.replying.set()
        self._body = body
        self._replies_left = replies_left

    async def serve(self, reader, writer):
        self.connections += 1
        with contextlib.suppress(
            asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError
        ):
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                length = [line for line in head.split("\r\n") if "Content-Length" in line]
                await reader.readexactly(int(length[0].split()[1]) if length else 0)
                self.requests.append(head.split("\r\n")[0])
                self.received.set()
                await self.replying.wait()
                if not self._replies_left:
                    break
                self._replies_left -= 1
                body = self.reply()
                head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n"
                writer.write(head.encode() + body)
        writer.close()

    def reply(self) -> bytes:
        return self._body


@contextlib.asynccontextmanager
async def run_server(target):
    server = await asyncio.start_server(target.serve, "127.0.0.1", 0)
    target.port = server.sockets[0].getsockname()[1]
    yield vms.Vm(
        name="ikeja-t1",
        role=vms.VmRole.TARGET,
        domain="ikeja",
        address="127.0.0.1",
        port=target.port,
    )
    server.close()


@pytest.fixture
async def shell():
    return FakeKernelRunner()


@pytest.fixture
async def adapter(shell):
    node_settings = types.SimpleNamespace(targets=settings.TargetsSection())
    adapter = targets_http.HttpTargets(types.SimpleNamespace(runner=shell, settings=node_settings))
    await adapter.open()
    yield adapter
    await adapter.close()


def make_start(vm, lease_id, limit=datetime.timedelta(seconds=2)):
    return actions.StartTask(
        lease_id=lease_id, target=vm, team="a-team", body=b"{}", start_before=NOW + limit
    )


async def next_report(shell) -> events.LeaseReported:
    async with asyncio.timeout(20):
        return await shell.reports.get()


async def test_aiohttp_resends_an_idempotent_method_when_a_kept_connection_closes():
    """Show why a start must not be sent with PUT: it could run twice."""
    target = FakeTarget()
    async with run_server(target) as vm, aiohttp.ClientSession() as session:
        target_url = f"http://127.0.0.1:{vm.port}"
        async with session.put(f"{target_url}/first", data=b"{}") as response:
            await response.read()
        with pytest.raises(aiohttp.ClientError):
            await session.put(f"{target_url}/second", data=b"{}")
    assert [request.split()[1] for request in target.requests] == ["/first", "/second", "/second"]


@pytest.mark.promise("at_most_once")
async def test_a_start_on_a_kept_connection_that_closes_is_sent_once(adapter, shell):
    target = FakeTarget()
    async with run_server(target) as vm:
        for lease_id in ("first", "second"):
            adapter.start(make_start(vm, lease_id))
            outcome = (await next_report(shell)).outcome
        assert outcome is events.LeaseOutcome.LOST
        assert target.requests == [
            "POST /v1/leases/first HTTP/1.1",
            "POST /v1/leases/second HTTP/1.1",
        ]
        assert target.connections == 1


async def test_a_reply_is_reported_with_all_its_fields(adapter, shell):
    async with run_server(FakeTarget()) as vm:
        adapter.start(make_start(vm, "first"))
        found = await next_report(shell)
    assert (found.lease_id, found.outcome) == ("first", events.LeaseOutcome.SUCCEEDED)
    assert (found.run_ms, bytes(found.result), found.busy) == (1.5, b'{"key": "k"}', 3)
    assert not found.asked


@pytest.mark.promise("at_most_once")
async def test_nothing_is_sent_at_or_after_the_start_limit(adapter, shell):
    target = FakeTarget()
    async with run_server(target) as vm:
        adapter.start(make_start(vm, "first", datetime.timedelta()))
        found = await next_report(shell)
    assert (found.outcome, found.reason) == (events.LeaseOutcome.NOT_STARTED, "too_late")
    assert target.requests == []


@pytest.mark.promise("at_most_once")
async def test_a_start_whose_limit_passes_while_it_waits_for_a_connection_is_not_sent(shell):
    section = settings.TargetsSection(connections_per_target=1)
    fake_node = types.SimpleNamespace(runner=shell, settings=types.SimpleNamespace(targets=section))
    adapter = targets_http.HttpTargets(fake_node)
    await adapter.open()
    target = FakeTarget(replies_left=2)
    target.replying.clear()
    async with run_server(target) as vm:
        adapter.start(make_start(vm, "first"))
        adapter.start(make_start(vm, "second"))
        adapter.ask_outcome(actions.AskOutcome(lease_id="second", target=vm))
        assert (await next_report(shell)).outcome is events.LeaseOutcome.QUEUED
        await target.received.wait()
        shell.clock.advance(datetime.timedelta(seconds=2))
        target.replying.set()
        found = [await next_report(shell), await next_report(shell)]
    await adapter.close()
    assert {report.lease_id: report.outcome.value for report in found} == {
        "first": "succeeded",
        "second": "not_started",
    }
    assert target.requests == ["POST /v1/leases/first HTTP/1.1"]


@pytest.mark.promise("honest_refusal")
async def test_a_refused_connection_is_reported_as_a_refused_start(adapter, shell):
    async with run_server(FakeTarget()) as vm:
        pass
    adapter.start(make_start(vm, "first"))
    assert (await next_report(shell)).outcome is events.LeaseOutcome.REFUSED


@pytest.mark.promise("honest_refusal")
@pytest.mark.parametrize(
    "body",
    [
        b"",
        b"{",
        b'{"x":' + b"[" * 4000,
        b'{"outcome": "refused"}',
        b'{"outcome": "lost"}',
        b'{"outcome": 3}',
    ],
)
async def test_an_invalid_reply_is_reported_as_lost(adapter, shell, body):
    async with run_server(FakeTarget(body)) as vm:
        adapter.start(make_start(vm, "first"))
        assert (await next_report(shell)).outcome is events.LeaseOutcome.LOST


async def test_an_end_learned_by_asking_closes_the_connection_of_the_start(adapter, shell):
    start_received = asyncio.Event()
    closed = asyncio.Event()

    class SilentStartTarget(FakeTarget):
        async def serve(self, reader, writer):
            if start_received.is_set():
                await super().serve(reader, writer)
                return
            start_received.set()
            await reader.read()
            closed.set()
            writer.close()

    target = SilentStartTarget()
    async with run_server(target) as vm:
        adapter.start(make_start(vm, "first"))
        await start_received.wait()
        shell.clock.advance(datetime.timedelta(seconds=1))
        adapter.ask_outcome(actions.AskOutcome(lease_id="first", target=vm))
        found = await next_report(shell)
        async with asyncio.timeout(20):
            await closed.wait()
    assert (found.outcome, found.asked) == (events.LeaseOutcome.SUCCEEDED, True)
    assert shell.reports.empty()
    assert target.requests == ["GET /v1/leases/first?wait_ms=0 HTTP/1.1"]


def make_single_connection_adapter(shell):
    """Return an adapter that opens at most one connection to a target."""
    section = settings.TargetsSection(connections_per_target=1)
    fake_node = types.SimpleNamespace(runner=shell, settings=types.SimpleNamespace(targets=section))
    return targets_http.HttpTargets(fake_node)


async def test_a_start_that_waits_for_a_connection_is_reported_as_delayed_and_then_as_sent(shell):
    adapter = make_single_connection_adapter(shell)
    await adapter.open()
    target = FakeTarget(replies_left=3)
    async with run_server(target) as vm:
        for lease_id in ("first", "second", "third"):
            adapter.start(make_start(vm, lease_id))
            assert (await next_report(shell)).outcome is events.LeaseOutcome.SUCCEEDED
            if lease_id == "first":
                shell.other_events.clear()
        assert shell.other_events == []
        target.replying.clear()
        target._replies_left = 2
        adapter.start(make_start(vm, "fourth"))
        adapter.start(make_start(vm, "fifth"))
        while len(target.requests) < 4:
            await asyncio.sleep(0)
        assert shell.other_events == [events.StartDelayed(lease_id="fifth")]
        target.replying.set()
        await next_report(shell)
        await next_report(shell)
    assert shell.other_events[-1] == events.StartSent(lease_id="fifth")
    await adapter.close()


@pytest.mark.promise("honest_refusal")
async def test_a_start_withdrawn_while_it_waits_for_a_connection_is_never_sent(shell):
    adapter = make_single_connection_adapter(shell)
    await adapter.open()
    target = FakeTarget(replies_left=2)
    target.replying.clear()
    async with run_server(target) as vm:
        adapter.start(make_start(vm, "first"))
        adapter.start(make_start(vm, "second"))
        await target.received.wait()
        assert events.StartDelayed(lease_id="second") in shell.other_events
        adapter.withdraw(actions.WithdrawStart(lease_id="second"))
        target.replying.set()
        found = {
            found.lease_id: found.outcome for found in [await next_report(shell) for _ in "12"]
        }
        assert found["second"] is events.LeaseOutcome.REFUSED
        adapter.start(make_start(vm, "third"))
        await next_report(shell)
    await adapter.close()
    assert [request.split()[1] for request in target.requests] == [
        "/v1/leases/first",
        "/v1/leases/third",
    ]


@pytest.mark.promise("honest_refusal")
async def test_a_start_withdrawn_when_it_is_reported_as_sent_is_never_sent(adapter, shell):
    """A deadline may pass just as the start gets a connection; the kernel then withdraws it."""

    def withdraw(event):
        if isinstance(event, events.StartSent):
            adapter.withdraw(actions.WithdrawStart(lease_id=event.lease_id))

    shell.on_other_event = withdraw
    target = FakeTarget()
    async with run_server(target) as vm:
        adapter.start(make_start(vm, "first"))
        assert (await next_report(shell)).outcome is events.LeaseOutcome.REFUSED
        shell.on_other_event = lambda event: None
        adapter.start(make_start(vm, "second"))
        assert (await next_report(shell)).outcome is events.LeaseOutcome.SUCCEEDED
    assert [request.split()[1] for request in target.requests] == ["/v1/leases/second"]


async def test_a_probe_reports_whether_a_target_replies(adapter, shell):
    async with run_server(FakeTarget()) as vm:
        adapter.probe(actions.ProbeTarget(target=vm))
        await asyncio.gather(*adapter._background_tasks)
    # The server is closed, so the connection is refused.
    adapter.probe(actions.ProbeTarget(target=vm))
    await asyncio.gather(*adapter._background_tasks)
    probes = [(event.target, event.is_reachable) for event in shell.other_events]
    assert probes == [(vm, True), (vm, False)]


def make_stop(vm, lease_id):
    limit = NOW + datetime.timedelta(seconds=2)
    return actions.StopTask(lease_id=lease_id, target=vm, start_before=limit)


async def test_a_stop_is_sent_again_until_the_target_has_seen_the_start(adapter, shell):
    class LateTarget(FakeTarget):
        def reply(self):
            seen = len(self.requests) > 2
            return b'{"outcome": "stopped"}' if seen else b'{"outcome": "unseen"}'

    target = LateTarget(replies_left=3)
    async with run_server(target) as vm:
        adapter.stop(make_stop(vm, "first"))
        assert await next_report(shell) == events.StopConfirmed(lease_id="first")
    assert target.requests == ["DELETE /v1/leases/first HTTP/1.1"] * 3


async def test_a_stop_is_not_confirmed_by_a_target_that_saw_no_start_before_its_limit(
    adapter, shell
):
    target = FakeTarget(b'{"outcome": "unseen"}')
    target.replying.clear()
    async with run_server(target) as vm:
        adapter.stop(make_stop(vm, "first"))
        await target.received.wait()
        shell.clock.advance(datetime.timedelta(seconds=2))
        target.replying.set()
        await adapter.close()
    assert shell.reports.empty()
    assert target.requests == ["DELETE /v1/leases/first HTTP/1.1"]


async def test_a_start_not_yet_sent_is_stopped_without_a_request(adapter, shell):
    target = FakeTarget()
    async with run_server(target) as vm:
        adapter.start(make_start(vm, "first"))
        adapter.stop(make_stop(vm, "first"))
        assert await next_report(shell) == events.StopConfirmed(lease_id="first")
    assert target.requests == []


async def test_connections_beyond_the_kept_ones_are_closed_after_their_start(adapter, shell):
    limits = settings.TargetsSection()
    count = limits.connections_per_target
    target = FakeTarget(replies_left=2 * count)
    connection_counts = []
    async with run_server(target) as vm:
        for batch in range(2):
            target.replying.clear()
            for number in range(count):
                adapter.start(make_start(vm, f"{batch}-{number}"))
            while len(target.requests) < (batch + 1) * count:
                await asyncio.sleep(0)
            target.replying.set()
            for _ in range(count):
                assert (await next_report(shell)).outcome is events.LeaseOutcome.SUCCEEDED
            connection_counts.append(target.connections)
    assert connection_counts == [count, count + count - limits.kept_connections_per_target]
