"""State machine of a pool of targets whose capacity all nodes share, without I/O or a clock."""
