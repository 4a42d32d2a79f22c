"""Command line of the node."""

import asyncio
import gc
import sys

from absl import app, flags

from chiveridge_node import (
    callers_http,
    nodes,
    peers_zmq,
    platforms_http,
    recorders,
    settings,
    targets_http,
)

EXIT_BAD_SETTINGS = 2

GC_THRESHOLDS = (10_000, 10, 10)
"""Thresholds of the garbage collector; the default of 700 allocations costs 1/8 of the CPU time."""

_CONFIG = flags.DEFINE_string("config", None, "Path of the INI file with the settings.")
_RECORD = flags.DEFINE_string("record", None, "Path of a trace of kernel events, for debugging.")
_CHECK = flags.DEFINE_bool("check", False, "Check the settings and exit.")

BUILT_IN_PLUGINS = (callers_http, peers_zmq, platforms_http, targets_http)


def main(argv: list[str]) -> int:
    """Check the settings and run the node."""
    del argv
    for plugin in BUILT_IN_PLUGINS:
        plugin.register()
    try:
        node_settings = settings.read(_CONFIG.value)
    except settings.SettingsError as error:
        print(error, file=sys.stderr)
        return EXIT_BAD_SETTINGS
    if _CHECK.value:
        return 0
    asyncio.run(_serve(node_settings))
    return 0


async def _serve(node_settings: settings.Settings) -> None:
    node = nodes.Node(node_settings)
    _reduce_garbage_collection()
    if _RECORD.value:
        recorders.Recorder(_RECORD.value, node.runner)
    await node.run()


def _reduce_garbage_collection() -> None:
    """Collect garbage less often, and exclude modules and other objects created at start."""
    gc.collect()
    gc.freeze()
    gc.set_threshold(*GC_THRESHOLDS)


def run() -> None:
    """Run the command line."""
    flags.mark_flag_as_required("config")
    app.run(main)
