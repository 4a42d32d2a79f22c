"""Named signals by which plug-ins learn of the life of the node."""

import blinker

node_listening = blinker.signal("node-listening")
"""Sent with the node once its ports are open."""

node_draining = blinker.signal("node-draining")
"""Sent with the node when a stop was requested."""

node_stopped = blinker.signal("node-stopped")
"""Sent with the node before the process exits."""

change_noted = blinker.signal("change-noted")
"""Sent with each verdict on a configuration record, as ``result``."""
