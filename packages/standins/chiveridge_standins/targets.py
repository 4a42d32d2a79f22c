"""Runs simulated targets in one process, each on its own port."""

import asyncio

import absl.app
import falcon
import falcon.asgi
import msgspec
from absl import flags, logging

from chiveridge_standins import clocks, fault_controls, servers, simulated_targets, start_journals

START_BEFORE_HEADER = "Chiveridge-Start-Before"


class TargetsListening(msgspec.Struct, tag="listening", tag_field="event"):
    """Announcement that the process prints once it listens: ports by target name.

    The ports of ``controls`` serve only counts and fault control, and have no connection limit.
    """

    targets: dict[str, int]
    controls: dict[str, int]


class LeaseResource:
    """Starts and stops tasks and returns their outcomes."""

    def __init__(self, target: simulated_targets.SimulatedTarget):
        self._target = target
        self._body_decoder = msgspec.json.Decoder(simulated_targets.TaskBody)
        self._encoder = msgspec.json.Encoder()

    async def on_post(
        self, req: falcon.asgi.Request, resp: falcon.asgi.Response, lease_id: str
    ) -> None:
        """Start a task and reply when it has ended."""
        self._target.counter.count_request()
        content = await req.stream.read()
        await _hang_if_silent(self._target)
        lease = self._start(lease_id, content, req.get_header(START_BEFORE_HEADER))
        await lease.ended.wait()
        await _hang_if_silent(self._target)
        if lease.reply.outcome is simulated_targets.LeaseOutcome.NOT_STARTED:
            resp.status = falcon.HTTP_503
        elif self._target.consume_reply_drop():
            servers.abort_connection(req)
            return
        resp.data = self._encoder.encode(self._target.current_reply(lease))

    async def on_get(
        self, req: falcon.asgi.Request, resp: falcon.asgi.Response, lease_id: str
    ) -> None:
        """Return the outcome; wait up to ``wait_ms`` for the task to end."""
        await _hang_if_silent(self._target)
        lease = self._target.find_latest_lease(lease_id)
        wait_ms = req.get_param_as_int("wait_ms", min_value=0, default=0)
        if lease is not None and wait_ms:
            await _wait_for_end(lease, wait_ms / 1000)
            await _hang_if_silent(self._target)
        self._write_reply(resp, lease)

    async def on_delete(
        self, _req: falcon.asgi.Request, resp: falcon.asgi.Response, lease_id: str
    ) -> None:
        """Stop a task and return its outcome."""
        await _hang_if_silent(self._target)
        lease = self._target.find_latest_lease(lease_id)
        if lease is not None:
            self._target.stop(lease)
            await lease.ended.wait()
        self._write_reply(resp, lease)

    def _start(
        self, lease_id: str, content: bytes, start_before: str | None
    ) -> simulated_targets.Lease:
        try:
            body = self._body_decoder.decode(content)
            start_before_ms = int(start_before) if start_before else None
        except ValueError:  # Includes msgspec.DecodeError.
            return self._target.record_refusal(lease_id, simulated_targets.RefusalReason.UNABLE)
        return self._target.start(lease_id, body, start_before_ms)

    def _write_reply(
        self, resp: falcon.asgi.Response, lease: simulated_targets.Lease | None
    ) -> None:
        if lease is None:
            resp.status = falcon.HTTP_404
            resp.data = self._encoder.encode(self._target.unseen_reply())
            return
        resp.data = self._encoder.encode(self._target.current_reply(lease))


class UsageResource:
    """Load of the target."""

    def __init__(self, target: simulated_targets.SimulatedTarget):
        self._target = target

    async def on_get(self, _req: falcon.asgi.Request, resp: falcon.asgi.Response) -> None:
        """Return the load as of ``usage_lag_ms`` ago."""
        await _hang_if_silent(self._target)
        resp.data = msgspec.json.encode(self._target.usage())


class CountsResource:
    """Counts of the tasks of the target."""

    def __init__(self, target: simulated_targets.SimulatedTarget):
        self._target = target

    async def on_get(self, _req: falcon.asgi.Request, resp: falcon.asgi.Response) -> None:
        """Return the counts."""
        resp.data = msgspec.json.encode(self._target.counter.counts)


def create_app(target: simulated_targets.SimulatedTarget) -> falcon.asgi.App:
    """Return an application that serves one target."""
    app = falcon.asgi.App()
    app.add_route("/v1/leases/{lease_id}", LeaseResource(target))
    app.add_route("/v1/usage", UsageResource(target))
    _add_control_routes(app, target)
    return app


def create_control_app(target: simulated_targets.SimulatedTarget) -> falcon.asgi.App:
    """Return an application that serves only the counts and the fault control of a target."""
    app = falcon.asgi.App()
    _add_control_routes(app, target)
    return app


def create_server(target: simulated_targets.SimulatedTarget, port: int = 0) -> servers.AppServer:
    """Return a server for one target that enforces its connection limit."""
    return servers.AppServer(create_app(target), port, lambda: target.faults.max_connections)


async def serve(names: list[str], slots: int, port: int, journal_directory: str = "") -> None:
    """Serve targets until SIGTERM or SIGINT, on consecutive ports unless ``port`` is 0.

    Starts are also written to journals in ``journal_directory`` when it is given.
    """
    servers_by_name: dict[str, servers.AppServer] = {}
    controls_by_name: dict[str, servers.AppServer] = {}
    for index, name in enumerate(names):
        journal = (
            start_journals.StartJournal(journal_directory, name) if journal_directory else None
        )
        target = simulated_targets.SimulatedTarget(name, slots, clocks.SystemClock(), journal)
        servers_by_name[name] = create_server(target, port + index if port else 0)
        controls_by_name[name] = servers.AppServer(create_control_app(target))
    announcement = TargetsListening(
        _ports_by_name(servers_by_name), _ports_by_name(controls_by_name)
    )
    logging.info("targets listen on ports %s", announcement.targets)
    await servers.serve_until_signal(
        [*servers_by_name.values(), *controls_by_name.values()], announcement
    )


def _ports_by_name(servers_by_name: dict[str, servers.AppServer]) -> dict[str, int]:
    return {name: app_server.port for name, app_server in servers_by_name.items()}


def _add_control_routes(app: falcon.asgi.App, target: simulated_targets.SimulatedTarget) -> None:
    app.add_route("/v1/counts", CountsResource(target))
    control = fault_controls.ControlResource(lambda: target.faults, target.set_faults)
    app.add_route("/control", control)


async def _hang_if_silent(target: simulated_targets.SimulatedTarget) -> None:
    if target.faults.silent:
        await asyncio.get_running_loop().create_future()


async def _wait_for_end(lease: simulated_targets.Lease, wait_s: float) -> None:
    try:
        async with asyncio.timeout(wait_s):
            await lease.ended.wait()
    except TimeoutError:
        return


def main(_argv: list[str]) -> None:
    """Run the process."""
    options = flags.FLAGS
    asyncio.run(serve(options.names, options.slots, options.port, options.journal_directory))


if __name__ == "__main__":
    flags.DEFINE_list("names", None, "Names of the targets.", required=True)
    flags.DEFINE_integer("slots", 8, "Slots of each target.", lower_bound=1)
    flags.DEFINE_integer("port", 0, "Port of the first target; 0 picks free ones.")
    flags.DEFINE_string(
        "journal_directory", "", "Directory for journals of starts; empty for none."
    )
    absl.app.run(main)
