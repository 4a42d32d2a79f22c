"""Submission ids, signed by the node incarnation that issued them and valid for a limited time.

Only the issuing incarnation may start the job of an id, and it keeps the used ids in memory
until they expire. See ``docs/design/at-most-once.md``.
"""

import datetime
import hashlib
import hmac
from typing import NamedTuple

import msgspec

from chiveridge_kernel import clocks, errors, identifiers, results

ID_LIFETIME = datetime.timedelta(minutes=10)
_SEPARATOR = "~"
_MAC_BYTES = 12


class IssuedId(msgspec.Struct, frozen=True):
    """The parts of a submission id."""

    node: identifiers.NodeName
    incarnation: identifiers.Incarnation
    expires_at_ms: int
    serial: int
    mac: str


class IssuedBatch(NamedTuple):
    """New ids, their serials and their expiry in milliseconds since the Unix epoch."""

    submission_ids: list[identifiers.SubmissionId]
    serials: range
    expires_at_ms: int


class Issuer:
    """Issues and verifies the ids of one incarnation.

    ``secret`` is generated at process start and never leaves the process.
    """

    def __init__(
        self,
        node: identifiers.NodeName,
        incarnation: identifiers.Incarnation,
        secret: bytes,
        lifetime: datetime.timedelta = ID_LIFETIME,
    ):
        self._node = node
        self._incarnation = incarnation
        self._secret = secret
        self._lifetime = lifetime
        self._serial = 0

    def issue(self, team: identifiers.TeamName, count: int, now: datetime.datetime) -> IssuedBatch:
        """Issue new ids to a team."""
        expires_at_ms = clocks.to_epoch_ms(now + self._lifetime)
        first = self._serial + 1
        ids = [self._issue_id(team, expires_at_ms) for _ in range(count)]
        return IssuedBatch(ids, range(first, first + count), expires_at_ms)

    def verify(self, submission_id: identifiers.SubmissionId, team: identifiers.TeamName) -> bool:
        """Return whether this incarnation issued exactly this id to the team.

        The whole text is compared, since another spelling of the same parts would count as a
        different id and start the job again.
        """
        issued = parse(submission_id)
        expected = self._encode(team, issued.expires_at_ms, issued.serial)
        return hmac.compare_digest(expected.encode(), submission_id.encode())

    def _issue_id(self, team: identifiers.TeamName, expires_at_ms: int) -> identifiers.SubmissionId:
        self._serial += 1
        return identifiers.SubmissionId(self._encode(team, expires_at_ms, self._serial))

    def _encode(self, team: identifiers.TeamName, expires_at_ms: int, serial: int) -> str:
        mac = self._mac(team, expires_at_ms, serial)
        return _SEPARATOR.join(
            (self._node, self._incarnation, str(expires_at_ms), str(serial), mac)
        )

    def _mac(self, team: identifiers.TeamName, expires_at_ms: int, serial: int) -> str:
        text = f"{team}{_SEPARATOR}{expires_at_ms}{_SEPARATOR}{serial}"
        digest = hashlib.blake2b(text.encode(), key=self._secret, digest_size=_MAC_BYTES)
        return digest.hexdigest()


def parse(submission_id: str) -> IssuedId:
    """Split a submission id into its parts.

    :raises errors.RefusedError: when the text is not in the format of a submission id.
    """
    try:
        node, incarnation, expires_at_ms, serial, mac = submission_id.split(_SEPARATOR)
        if not expires_at_ms.isdecimal() or not serial.isdecimal() or not mac.isascii():
            raise ValueError(submission_id)
        return IssuedId(
            identifiers.NodeName(node),
            identifiers.Incarnation(incarnation),
            int(expires_at_ms),
            int(serial),
            mac,
        )
    except ValueError as error:
        message = f"submission_id: {submission_id!r} is not a submission id"
        raise errors.RefusedError(results.ResultCode.UNKNOWN_SUBMISSION, message) from error


def expired_id_error() -> errors.RefusedError:
    """Return the refusal of an expired id, whose use is no longer on record."""
    message = "submission_id: it has expired; ask for a new one"
    return errors.RefusedError(
        results.ResultCode.SUBMISSION_ID_EXPIRED, message, ran=results.TaskOutcome.UNKNOWN
    )
