"""Publishes a change of the configuration and reports the verdict on it."""

import datetime
import itertools
import random
import uuid

import msgspec

from chiveridge_client import backoffs, changes, clocks, errors, platform_logs, readers
from chiveridge_kernel import configurations, identifiers, records

DEFAULT_STREAM = "configuration"
DEFAULT_TIMEOUT = datetime.timedelta(seconds=30)

parse_writes = changes.parse


class Publication(msgspec.Struct, frozen=True, kw_only=True):
    """A published change: its offset in the log and the verdict on it.

    ``lost_replies`` counts the appends that got no reply; the change is in the log all the same.
    """

    change_id: str
    offset: identifiers.Offset
    verdict: records.Verdict
    lost_replies: int = 0
    message: str = ""


class _PendingAppend(msgspec.Struct, kw_only=True):
    """A change to append, with the state of the attempts."""

    change_id: str
    value: bytes
    is_confirmed: bool = False
    lost_replies: int = 0


class Publisher:
    """Publishes changes to one stream.

    :param timeout: time limit of one publication, including its retries.
    """

    def __init__(
        self,
        log: platform_logs.LogClient,
        *,
        rng: random.Random,
        clock: clocks.Clock,
        stream: str = DEFAULT_STREAM,
        timeout: datetime.timedelta = DEFAULT_TIMEOUT,
    ):
        self._log = log
        self._rng = rng
        self._clock = clock
        self._stream = stream
        self._reader = readers.ConfigurationReader(log, stream)
        self._timeout = timeout

    async def publish(
        self,
        writes: list[records.ObjectWrite],
        actor: str,
        comment: str = "",
        change_id: str = "",
    ) -> Publication:
        """Append one change with ``writes`` and return the verdict on it.

        ``based_on`` of each write is set to the current revision of its object. Pass the
        ``change_id`` of a change whose outcome is unknown to look it up, or to append it again if
        the log does not contain it.

        :raises errors.InvalidInputError: when an object to delete does not exist.
        :raises errors.UnreachableError: when the log can't be read; nothing was appended.
        :raises errors.PublicationUnknownError: when the outcome could not be determined in time.
        :raises errors.LogError: when the log refused the record.
        """
        give_up_at = self._clock.elapsed() + self._timeout
        change_verdict = await self._read_before_append(change_id, give_up_at)
        if change_verdict is None:
            self._check_deletions(writes)
        change = self._new_change(writes, actor, comment, change_id or str(uuid.uuid4()))
        if change_verdict is not None:
            return _publication(change, change_verdict, 0)
        return await self._append_until_found(change, give_up_at)

    @property
    def configuration(self) -> configurations.Configuration:
        """The configuration as of the last read."""
        return self._reader.configuration

    def _check_deletions(self, writes: list[records.ObjectWrite]) -> None:
        problems = [
            f"[{changes.DELETE} {write.kind.value} {write.name}]: there is no such object"
            for write in writes
            if write.is_deletion() and not self.configuration.revision_of(write.kind, write.name)
        ]
        if problems:
            raise errors.InvalidInputError(problems)

    def _new_change(
        self, writes: list[records.ObjectWrite], actor: str, comment: str, change_id: str
    ) -> records.ChangeRecord:
        return records.ChangeRecord(
            change_id=change_id,
            actor=actor,
            changed_at=self._clock.now().isoformat(),
            writes=[self._with_base_revision(write) for write in writes],
            comment=comment,
        )

    def _with_base_revision(self, write: records.ObjectWrite) -> records.ObjectWrite:
        based_on = self._reader.configuration.revision_of(write.kind, write.name)
        return msgspec.structs.replace(write, based_on=based_on)

    async def _read_before_append(
        self, change_id: str, give_up_at: datetime.timedelta
    ) -> readers.ChangeVerdict | None:
        attempt = 0
        while True:
            try:
                return await self._find_earlier_verdict(change_id)
            except errors.LogReplyLostError as error:
                delay = backoffs.delay(attempt, self._rng)
                attempt += 1
                if self._clock.elapsed() + delay >= give_up_at:
                    raise _unreadable_log_error(change_id, error) from error
                await self._clock.sleep(delay)

    async def _find_earlier_verdict(self, change_id: str) -> readers.ChangeVerdict | None:
        """Read the log to its end; return the verdict on ``change_id`` if it is given and found."""
        if change_id:
            return await self._reader.find(change_id)
        await self._reader.catch_up()
        return None

    async def _append_until_found(
        self, change: records.ChangeRecord, give_up_at: datetime.timedelta
    ) -> Publication:
        """Append the change and look it up in the log; after a lost reply, append it again."""
        pending = _PendingAppend(change_id=change.change_id, value=msgspec.json.encode(change))
        for attempt in itertools.count():
            await self._append(pending)
            try:
                change_verdict = await self._reader.find(change.change_id)
                reason = "the log does not contain it yet"
            except errors.LogError as error:
                change_verdict = None
                reason = str(error)
            if change_verdict is not None:
                return _publication(change, change_verdict, pending.lost_replies)
            delay = backoffs.delay(attempt, self._rng)
            if self._clock.elapsed() + delay >= give_up_at:
                raise errors.PublicationUnknownError(change.change_id, reason)
            await self._clock.sleep(delay)
        raise AssertionError("the loop returns or raises")

    async def _append(self, pending: _PendingAppend) -> None:
        """Append the change unless an earlier attempt was confirmed."""
        if pending.is_confirmed:
            return
        try:
            await self._log.append(self._stream, pending.value)
            pending.is_confirmed = True
        except errors.LogReplyLostError:
            pending.lost_replies += 1
        except errors.LogError as error:
            if not pending.lost_replies:
                raise
            raise errors.PublicationUnknownError(pending.change_id, str(error)) from error


def _unreadable_log_error(change_id: str, error: errors.LogError) -> errors.ClientError:
    """Return the error to raise when the log can't be read before the append."""
    if change_id:
        return errors.PublicationUnknownError(change_id, str(error))
    return errors.UnreachableError(f"nothing was published: {error}")


def _publication(
    change: records.ChangeRecord, change_verdict: readers.ChangeVerdict, lost_replies: int
) -> Publication:
    return Publication(
        change_id=change.change_id,
        offset=change_verdict.offset,
        verdict=change_verdict.verdict,
        lost_replies=lost_replies,
        message=change_verdict.message,
    )
