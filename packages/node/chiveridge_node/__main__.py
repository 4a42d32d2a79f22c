"""Run the node with ``python -m chiveridge_node``."""

from chiveridge_node import mains

mains.run()
