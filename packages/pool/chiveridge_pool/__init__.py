"""Decisions for a pool of targets whose room is shared by all nodes; no I/O, no clock."""
