"""Numbered log events of the pool; ``docs/events.md`` is their catalogue."""

import datetime
import enum

from chiveridge_kernel import clocks


class NoteEvent(enum.IntEnum):
    """Log events of the pool; the number of a removed event is never reused."""

    JOB_TAKEN = 500
    JOB_JOINED = 501
    JOB_PLACED = 502
    JOB_REFUSED = 503
    JOB_ANSWERED = 504
    CALLER_LEFT = 506
    JOB_FOLLOWED = 507
    REQUEST_REJECTED = 508
    RUN_ENDED = 510
    RUN_STOPPED = 511
    RUN_MOVED = 512
    RUN_LOST = 513
    RUN_ATTEMPTS = 514
    STRANGER_STOPPED = 515
    TASK_SUSPECTED = 516
    OWNER_CHANGED = 520
    TARGET_SILENT = 521
    TARGET_BACK = 522
    TARGET_SUSPENDED = 523
    TARGET_LOST = 524
    EVACUATION_CHANGED = 525
    INTERFERENCE_CHANGED = 526
    ENTRY_AWAITED = 527
    ENTRY_READ = 528
    MEMBER_HEARD = 530
    MEMBER_LOST = 531
    NODE_SLOW = 532
    RESTART_SUSPECTED = 534
    RESTART_RULED_OUT = 535
    PART_FAILED = 540


REQUEST_EVENTS = frozenset(event for event in NoteEvent if event < NoteEvent.OWNER_CHANGED)
"""Events that concern a single request and carry its job id."""


def to_ms(duration: datetime.timedelta) -> float:
    """Return a duration for the log, in milliseconds rounded to one decimal place."""
    return round(clocks.to_ms(duration), 1)
