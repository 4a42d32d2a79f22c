"""What must hold for each sending of a start, be it the first or a further attempt."""

import datetime
import enum
from collections.abc import Callable
from typing import TYPE_CHECKING

from chiveridge_pool import evacuations, grants, owned_targets, timings

if TYPE_CHECKING:
    from chiveridge_pool import target_owners

NO_REPLY = "its start got no reply"


class Decision(enum.Enum):
    """What becomes of a start that is about to be sent.

    ``WAIT``: until the target's next reply. ``STOP``: it is not sent any more, and the run is
    stopped if an earlier attempt was.
    """

    SEND = "send"
    WAIT = "wait"
    STOP = "stop"


class StartChecks:
    """Decides on each sending of a start by what is known of the target at that moment."""

    def __init__(self, target_owner: "target_owners.TargetOwner"):
        self._target_owner = target_owner

    def decide(
        self, owned: owned_targets.OwnedTarget, grant: grants.Grant, now: datetime.datetime
    ) -> tuple[Decision, str]:
        """Return what becomes of a start now, and why it is not sent."""
        checks = _FURTHER_ATTEMPT_CHECKS if grant.is_sent() else _FIRST_ATTEMPT_CHECKS
        for is_applicable, decision, reason in checks:
            if is_applicable(self, owned, grant, now):
                return decision, reason
        return Decision.SEND, ""

    def _is_evacuated(
        self, owned: owned_targets.OwnedTarget, grant: grants.Grant, now: datetime.datetime
    ) -> bool:
        return self._target_owner.is_evacuated(owned.target)

    def _is_draining(
        self, owned: owned_targets.OwnedTarget, grant: grants.Grant, now: datetime.datetime
    ) -> bool:
        return owned.target.is_draining

    def _is_not_described(
        self, owned: owned_targets.OwnedTarget, grant: grants.Grant, now: datetime.datetime
    ) -> bool:
        return not self._target_owner.is_described(owned)

    def _has_expired(
        self, owned: owned_targets.OwnedTarget, grant: grants.Grant, now: datetime.datetime
    ) -> bool:
        return now >= grant.expires_at

    def _is_retried_long_enough(
        self, owned: owned_targets.OwnedTarget, grant: grants.Grant, now: datetime.datetime
    ) -> bool:
        return now - grant.first_sent_at >= timings.START_RETRY_TIMEOUT

    def _answers_no_holds(
        self, owned: owned_targets.OwnedTarget, grant: grants.Grant, now: datetime.datetime
    ) -> bool:
        return owned.failures > timings.MAX_FAILED_HOLDS

    def _may_have_restarted(
        self, owned: owned_targets.OwnedTarget, grant: grants.Grant, now: datetime.datetime
    ) -> bool:
        return owned.restart_signs.is_restart_possible(now)

    def _has_not_replied_lately(
        self, owned: owned_targets.OwnedTarget, grant: grants.Grant, now: datetime.datetime
    ) -> bool:
        return not owned.restart_signs.has_replied_lately(now)

    def _runs_unknown(
        self, owned: owned_targets.OwnedTarget, grant: grants.Grant, now: datetime.datetime
    ) -> bool:
        return bool(owned.unknown_runs)


_Check = tuple[Callable[..., bool], Decision, str]

_EVACUATED: _Check = (StartChecks._is_evacuated, Decision.STOP, evacuations.STOP_REASON)
_DRAINING: _Check = (StartChecks._is_draining, Decision.STOP, "the target drains")
_NOT_DESCRIBED: _Check = (
    StartChecks._is_not_described,
    Decision.STOP,
    "no valid entry of this incarnation of the target was read",
)
_MAY_HAVE_RESTARTED: _Check = (
    StartChecks._may_have_restarted,
    Decision.WAIT,
    "the target may have restarted",
)
_RUNS_UNKNOWN: _Check = (
    StartChecks._runs_unknown,
    Decision.WAIT,
    "the target runs what its owner does not know",
)

_SILENT: _Check = (
    StartChecks._has_not_replied_lately,
    Decision.WAIT,
    "the target has not replied lately",
)

_FIRST_ATTEMPT_CHECKS: tuple[_Check, ...] = (
    (StartChecks._has_expired, Decision.STOP, "its grant has expired"),
    _EVACUATED,
    _DRAINING,
    _NOT_DESCRIBED,
    (StartChecks._answers_no_holds, Decision.STOP, "the target answers no holds"),
    _MAY_HAVE_RESTARTED,
    _RUNS_UNKNOWN,
    _SILENT,
)

# An earlier attempt may have been executed, which the next reply to a hold tells. What is found to
# be running goes on.
_FURTHER_ATTEMPT_CHECKS: tuple[_Check, ...] = (
    (StartChecks._is_retried_long_enough, Decision.STOP, NO_REPLY),
    _MAY_HAVE_RESTARTED,
    _EVACUATED,
    _DRAINING,
    _NOT_DESCRIBED,
    _RUNS_UNKNOWN,
    _SILENT,
)
