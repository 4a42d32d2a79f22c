"""Stand-in for the platform: the log and the list of VMs in one process on one port."""

import asyncio

import absl.app
import falcon.asgi
from absl import flags, logging

from chiveridge_standins import clocks, logs, servers, vms


def create_app(clock: clocks.Clock) -> falcon.asgi.App:
    """Return an application that serves a new log and a new list of VMs."""
    app = falcon.asgi.App()
    logs.add_routes(app, logs.Log(clock))
    vms.add_routes(app, vms.VmRegistry(clock))
    return app


async def serve(port: int) -> None:
    """Serve until SIGTERM or SIGINT."""
    app_server = servers.AppServer(create_app(clocks.SystemClock()), port)
    logging.info("platform listens on port %d", app_server.port)
    await servers.serve_until_signal([app_server], servers.Listening(port=app_server.port))


def main(_argv: list[str]) -> None:
    """Run the process."""
    asyncio.run(serve(flags.FLAGS.port))


if __name__ == "__main__":
    flags.DEFINE_integer("port", 0, "Port to listen on; 0 picks a free one.")
    absl.app.run(main)
