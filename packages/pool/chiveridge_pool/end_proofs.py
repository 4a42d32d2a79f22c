"""Reasons for which a run counts as ended, and which suffice while an attempt is unanswered."""

import enum


class EndProof(enum.Enum):
    """Why a run counts as ended.

    The owner of its target gives these:

    - ``NEVER_SENT``: its start was not sent.
    - ``GRANT_EXPIRED``: its grant was over before its start was asked for.
    - ``ALL_REJECTED``: the target rejected every attempt to start it.
    - ``OUTDATED``: the target rejected its run number, and every other attempt.
    - ``LISTED``: the target lists its end, and rejects further attempts.
    - ``STOPPED``: the target has confirmed its stop, rejects further attempts and does not list it.
    - ``OUTDATED_UNLISTED``: the target rejects its run number and does not list it.
    - ``FENCED_UNLISTED``: the target has accepted a higher token and does not list it.
    - ``FENCED_EXPIRED``: the target has accepted a higher token, and the lease has expired.
    - ``INCARNATION_ENDED``: it ran in an incarnation of the target that is over.
    - ``INSTANCE_REPLACED``: another instance answers at the address and rejects its start.
    - ``LEASE_EXPIRED``: the lease has expired, and so has the time for late orders.
    - ``UNKNOWN_HERE``: the owner that granted it has no such run, or has told of its end before.

    The job's node concludes these:

    - ``OWNER_UNLISTED``: its owner has received the request to start it and does not list it.
    - ``OTHER_OWNER_UNLISTED``: another owner has a higher token accepted and does not list it.
    - ``OWNER_SILENT``: its owner was silent until the lease and the time for late orders that it
      has told of had passed.

    These are no proof, and end a run so that its task is in time:

    - ``RETRY_DUE``: the lease has expired, but an unanswered attempt may still be executed.
    - ``OWNER_LOST_EARLY``: as ``OWNER_SILENT``, of an owner that was lost before it could tell
      whether an attempt is unanswered.
    """

    NEVER_SENT = "never_sent"
    GRANT_EXPIRED = "grant_expired"
    ALL_REJECTED = "all_rejected"
    OUTDATED = "outdated"
    LISTED = "listed"
    STOPPED = "stopped"
    OUTDATED_UNLISTED = "outdated_unlisted"
    FENCED_UNLISTED = "fenced_unlisted"
    FENCED_EXPIRED = "fenced_expired"
    INCARNATION_ENDED = "incarnation_ended"
    INSTANCE_REPLACED = "instance_replaced"
    LEASE_EXPIRED = "lease_expired"
    UNKNOWN_HERE = "unknown_here"
    OWNER_UNLISTED = "owner_unlisted"
    OTHER_OWNER_UNLISTED = "other_owner_unlisted"
    OWNER_SILENT = "owner_silent"
    RETRY_DUE = "retry_due"
    OWNER_LOST_EARLY = "owner_lost_early"


class _Scope(enum.Enum):
    """What a proof says of the attempts to start a run.

    ``EVERY_ATTEMPT``: the present incarnation of the target executes none from now on; the next
    one may execute an unanswered attempt until it is claimed. ``ANSWERED_ATTEMPTS``: none that was
    answered runs any more. ``NOTHING``: it is no proof.
    """

    EVERY_ATTEMPT = enum.auto()
    ANSWERED_ATTEMPTS = enum.auto()
    NOTHING = enum.auto()


_SCOPES = {
    EndProof.NEVER_SENT: _Scope.EVERY_ATTEMPT,
    EndProof.GRANT_EXPIRED: _Scope.EVERY_ATTEMPT,
    EndProof.ALL_REJECTED: _Scope.ANSWERED_ATTEMPTS,
    EndProof.OUTDATED: _Scope.ANSWERED_ATTEMPTS,
    EndProof.LISTED: _Scope.EVERY_ATTEMPT,
    EndProof.STOPPED: _Scope.EVERY_ATTEMPT,
    EndProof.OUTDATED_UNLISTED: _Scope.EVERY_ATTEMPT,
    EndProof.FENCED_UNLISTED: _Scope.EVERY_ATTEMPT,
    EndProof.FENCED_EXPIRED: _Scope.EVERY_ATTEMPT,
    EndProof.INCARNATION_ENDED: _Scope.ANSWERED_ATTEMPTS,
    EndProof.INSTANCE_REPLACED: _Scope.EVERY_ATTEMPT,
    EndProof.LEASE_EXPIRED: _Scope.ANSWERED_ATTEMPTS,
    EndProof.UNKNOWN_HERE: _Scope.EVERY_ATTEMPT,
    EndProof.OWNER_UNLISTED: _Scope.EVERY_ATTEMPT,
    EndProof.OTHER_OWNER_UNLISTED: _Scope.EVERY_ATTEMPT,
    EndProof.OWNER_SILENT: _Scope.ANSWERED_ATTEMPTS,
    EndProof.RETRY_DUE: _Scope.NOTHING,
    EndProof.OWNER_LOST_EARLY: _Scope.NOTHING,
}

LOGGED_BY_JOBS_NODE = frozenset(
    {
        EndProof.GRANT_EXPIRED,
        EndProof.UNKNOWN_HERE,
        EndProof.OWNER_UNLISTED,
        EndProof.OTHER_OWNER_UNLISTED,
        EndProof.OWNER_SILENT,
        EndProof.OWNER_LOST_EARLY,
    }
)
"""Proofs of ends that only the job's node logs, as no owner has a record of the run."""

PROOF_BY_VALUE = {proof.value: proof for proof in EndProof}


def may_end(proof: EndProof, *, may_run: bool) -> bool:
    """Return whether a run may be ended on a proof, so that its task may start again.

    ``may_run`` tells whether an unanswered attempt of its start may still be executed, or run.
    """
    return not may_run or _SCOPES[proof] is not _Scope.ANSWERED_ATTEMPTS


def is_proven(proof: EndProof) -> bool:
    """Return whether a proof shows that a run has ended or never ran."""
    return _SCOPES[proof] is not _Scope.NOTHING
