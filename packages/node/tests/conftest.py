"""A node that serves callers on a real port, with fakes for all its other adapters."""

import asyncio
import http.client
import json
import socket
import threading

import msgspec
import pytest

from chiveridge_kernel import actions, events, results, submission_ids, vms
from chiveridge_load import deployments
from chiveridge_node import callers_http, nodes, plugins, settings

DESK = deployments.TeamPlan(name="desk", secret="secret-of-desk")
REGISTRY = deployments.TeamPlan(name="registry", secret="secret-of-registry")
TARGET = vms.Vm(
    name="ikeja-t1",
    role=vms.VmRole.TARGET,
    domain="ikeja",
    address="127.0.0.1",
    port=1,
    slots=8,
)
TIMEOUT_S = 10


class FakeAdapter:
    """Fake of the log, the list of VMs and the peers; it opens and does nothing."""

    port = 0

    def __init__(self, node):
        node.request_handler.forward = self.forward

    async def open(self) -> None:
        return

    async def close(self) -> None:
        return

    async def forward(self, peer, **fields):
        return None


class FakeTargets(FakeAdapter):
    """Fake targets on which every start succeeds at once; counts the starts."""

    def __init__(self, node):
        super().__init__(node)
        self.started = 0
        self._runner = node.runner
        node.runner.set_performer(actions.StartTask, self._start)

    def _start(self, action: actions.StartTask) -> None:
        self.started += 1
        report = events.LeaseReported(
            lease_id=action.lease_id,
            outcome=events.LeaseOutcome.SUCCEEDED,
            result=msgspec.Raw(b'"done"'),
        )
        asyncio.get_running_loop().call_soon(self._runner.handle_and_log_errors, report)


class Reply(msgspec.Struct, frozen=True):
    """The HTTP reply that a caller received."""

    status: int
    content: dict
    headers: dict[str, str]

    @property
    def code(self) -> results.ResultCode:
        return results.ResultCode(self.content["code"])


class LateConnection:
    """Fake connection of the server that accepts another connection when it is shut down.

    This reproduces a connection that is accepted while the server closes the existing ones.
    """

    def __init__(self, server, accepted: socket.socket):
        self.transport = self
        self._server = server
        self._accepted_socket = accepted
        self._accept_task: asyncio.Task | None = None
        server.server_state.connections.add(self)

    def get_write_buffer_size(self) -> int:
        return 0

    def shutdown(self) -> None:
        if self._accept_task is None:
            self._accept_task = asyncio.get_running_loop().create_task(self._accept())

    async def _accept(self) -> None:
        config, state = self._server.config, self._server.server_state
        await asyncio.get_running_loop().connect_accepted_socket(
            lambda: config.http_protocol_class(config=config, server_state=state, app_state={}),
            self._accepted_socket,
        )
        state.connections.discard(self)


class NodeHarness:
    """A node with a real port for callers; runs on an event loop in another thread."""

    def __init__(self):
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._loop.run_forever)
        self._thread.start()
        self.node = self.run_on_loop(self._open())
        self.targets = self.node._adapters_by_kind[plugins.AdapterKind.TARGETS]
        self.port = self._callers.port

    def close(self) -> None:
        self.run_on_loop(self._close())
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join()
        self._loop.close()

    def close_while_accepting(self, accepted: socket.socket) -> bool:
        """Close while a connection is accepted; return whether the server exited unforced."""
        LateConnection(self._callers._server, accepted)
        self.close()
        return not self._callers._server.force_exit

    def request(self, method, path, body=None, credential=DESK.credential, headers=None):
        """Send one request and return its reply."""
        connection = http.client.HTTPConnection("127.0.0.1", self.port, timeout=TIMEOUT_S)
        headers = {"Authorization": f"Bearer {credential}", **(headers or {})}
        try:
            connection.request(method, path, body, headers)
            response = connection.getresponse()
            content = response.read()
            return Reply(response.status, json.loads(content), dict(response.getheaders()))
        finally:
            connection.close()

    def get_text(self, path) -> str:
        """Return the body of a page as text."""
        connection = http.client.HTTPConnection("127.0.0.1", self.port, timeout=TIMEOUT_S)
        try:
            connection.request("GET", path)
            return connection.getresponse().read().decode()
        finally:
            connection.close()

    def new_id(self, credential=DESK.credential) -> str:
        """Return a submission id that was issued to a team."""
        reply = self.request("POST", "/v1/submission-ids", b"", credential)
        return reply.content["submission_ids"][0]

    def submit(self, credential=DESK.credential, path="/v1/jobs?wait_ms=5000", **fields):
        """Submit a valid job with some fields changed."""
        job = {"submission_id": self.new_id(), "tasks": [{"body": 1}], **fields}
        return self.request("POST", path, json.dumps(job).encode(), credential)

    def expired_id(self, team="desk") -> str:
        """Return an id of this incarnation that has expired."""
        kernel = self.node.kernel
        issuer = submission_ids.Issuer(
            kernel.settings.node,
            kernel.settings.incarnation,
            kernel.settings.secret,
            lifetime=-submission_ids.ID_LIFETIME,
        )
        return issuer.issue(team, 1, self.node.runner.clock.now())[0][0]

    def check_no_side_effects(self) -> None:
        """Check that nothing was started or kept, and that the node still runs jobs."""
        assert self.targets.started == 0
        dispatcher = self.node.kernel.dispatcher
        assert dispatcher.jobs_by_id == {}
        assert dispatcher._tasks_by_lease == {}
        assert self.node.request_handler._answer_events_by_id == {}
        assert self.submit().code is results.ResultCode.COMPLETE
        self.targets.started = 0

    @property
    def _callers(self) -> callers_http.HttpCallerServer:
        return self.node._adapters_by_kind[plugins.AdapterKind.CALLERS]

    def run_on_loop(self, coroutine):
        return asyncio.run_coroutine_threadsafe(coroutine, self._loop).result(TIMEOUT_S)

    async def _open(self) -> nodes.Node:
        node = nodes.Node(settings.parse(_settings_text()))
        node._register_performers()
        node.runner.start()
        node.metrics.start()
        change = deployments.first_change([DESK, REGISTRY], [TARGET.name])
        node.runner.handle(events.RecordsRead(records=[(0, msgspec.to_builtins(change))]))
        node.runner.handle(events.VmsListed(listing=vms.VmList(1, [TARGET])))
        await node._adapters_by_kind[plugins.AdapterKind.CALLERS].open()
        return node

    async def _close(self) -> None:
        await self._callers.close()
        self.node.metrics.stop()
        self.node.runner.stop()


def _settings_text() -> dict[str, dict[str, str]]:
    fakes = ("targets", "log", "vms", "peers")
    platform = "http://127.0.0.1:1"
    return {
        "node": {"name": "ikeja-e1", "domain": "ikeja"},
        "platform": {"log_url": platform, "vms_url": platform},
        "plugins": dict.fromkeys(fakes, "fake"),
    }


@pytest.fixture(scope="session")
def fakes():
    """Register the fake adapters; they stay registered."""
    callers_http.register()
    for kind in (plugins.AdapterKind.LOG, plugins.AdapterKind.VMS, plugins.AdapterKind.PEERS):
        plugins.register_factory(kind, "fake", FakeAdapter)
    plugins.register_factory(plugins.AdapterKind.TARGETS, "fake", FakeTargets)


@pytest.fixture(scope="module")
def edge(fakes):
    harness = NodeHarness()
    yield harness
    harness.close()


@pytest.fixture
def closing_edge(fakes):
    """Return a node that the test itself closes."""
    return NodeHarness()
