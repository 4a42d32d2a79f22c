"""The states and the final outcomes of a run."""

import enum


class RunEnd(enum.Enum):
    """How a grant ended.

    ``LAPSED``: the lease of the target expired. ``REFUSED``: nothing ran. ``OLD``: the target
    requires a higher run number. ``LOST``: the target certainly no longer runs the task, but its
    outcome was not observed. ``CRASHED``: the incarnation of the target that ran it is over.
    """

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"
    BROKEN = "broken"
    ALONE = "alone"
    REFUSED = "refused"
    OLD = "old"
    LOST = "lost"
    CRASHED = "crashed"


END_BY_VALUE = {end.value: end for end in RunEnd}


class GrantState(enum.Enum):
    """State of a grant at its owner, from reservation to stop."""

    RESERVED = "reserved"
    STARTING = "starting"
    RUNNING = "running"
    STOPPING = "stopping"
