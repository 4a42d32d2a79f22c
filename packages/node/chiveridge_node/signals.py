"""Named signals that notify plug-ins of the node's lifecycle and of configuration changes."""

import blinker

node_listening = blinker.signal("node-listening")
"""Sent with the node once its ports are open."""

node_draining = blinker.signal("node-draining")
"""Sent with the node when a stop was requested."""

node_stopped = blinker.signal("node-stopped")
"""Sent with the node before the process exits."""

change_noted = blinker.signal("change-noted")
"""Sent with the verdict on each configuration record as ``result``."""
