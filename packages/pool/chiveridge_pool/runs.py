"""What may become of a run."""

import enum


class RunEnd(enum.Enum):
    """How a grant came to its end.

    ``REFUSED`` means that nothing ran; ``OLD`` that the target wants a higher run number;
    ``LOST`` that the target no longer runs it, for certain, and nobody saw how it ended.
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


END_BY_WORD = {end.value: end for end in RunEnd}


class GrantState(enum.Enum):
    """Life of a grant at its owner."""

    RESERVED = "reserved"
    STARTING = "starting"
    RUNNING = "running"
    STOPPING = "stopping"
