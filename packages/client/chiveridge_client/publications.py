"""Publishes a change of the configuration and reports the verdict on it."""

import datetime
import itertools
import random
import uuid

import msgspec

from chiveridge_client import backoffs, changes, clocks, errors, platforms, revisions
from chiveridge_kernel import identifiers, records

DEFAULT_STREAM = "configuration"
DEFAULT_TIMEOUT = datetime.timedelta(seconds=30)

parse = changes.parse


class Publication(msgspec.Struct, frozen=True, kw_only=True):
    """A published change: where it is stored and what was decided about it.

    ``lost_replies`` counts the appends that got no reply; the change took effect all the same.
    """

    change_id: str
    offset: identifiers.Offset
    verdict: records.Verdict
    lost_replies: int = 0


class Found(msgspec.Struct, frozen=True):
    """The first record of a change in the log and the verdict on it."""

    offset: identifiers.Offset
    verdict: records.Verdict


class Publisher:
    """Publishes changes to one stream.

    :param fold: empty configuration to fold the stream into.
    :param timeout: time for one publication, attempts included.
    """

    def __init__(
        self,
        log: platforms.Log,
        fold: revisions.Fold,
        *,
        rng: random.Random,
        clock: clocks.Clock,
        stream: str = DEFAULT_STREAM,
        timeout: datetime.timedelta = DEFAULT_TIMEOUT,
    ):
        self._log = log
        self._fold = fold
        self._rng = rng
        self._clock = clock
        self._stream = stream
        self._timeout = timeout

    async def publish(
        self, writes: list[records.ObjectWrite], actor: str, comment: str = ""
    ) -> Publication:
        """Append one change with ``writes`` and return the verdict on it.

        ``based_on`` of each write is set from the log as it is now.

        :raises errors.UnreachableError: when the log can't be read; nothing was appended.
        :raises errors.PublicationUnknownError: when the outcome could not be found out in time.
        :raises errors.LogError: when the log refused the record.
        """
        until = self._clock.elapsed() + self._timeout
        await self._read_before_append(until)
        change = self._new_change(writes, actor, comment)
        return await self._append_until_found(change, until)

    def _new_change(
        self, writes: list[records.ObjectWrite], actor: str, comment: str
    ) -> records.ChangeRecord:
        return records.ChangeRecord(
            change_id=str(uuid.uuid4()),
            actor=actor,
            changed_at=self._clock.now().isoformat(),
            writes=[self._based(write) for write in writes],
            comment=comment,
        )

    def _based(self, write: records.ObjectWrite) -> records.ObjectWrite:
        based_on = self._fold.revision_of(write.kind, write.name)
        return msgspec.structs.replace(write, based_on=based_on)

    async def _read_before_append(self, until: datetime.timedelta) -> None:
        attempt = 0
        while True:
            try:
                await self._catch_up("")
                return
            except errors.LogReplyLostError as error:
                delay = backoffs.delay(attempt, self._rng)
                attempt += 1
                if self._clock.elapsed() + delay >= until:
                    raise errors.UnreachableError(f"nothing was published: {error}") from error
                await self._clock.sleep(delay)

    async def _append_until_found(
        self, change: records.ChangeRecord, until: datetime.timedelta
    ) -> Publication:
        """Append the change, again under the same id after a lost reply, and find it in the log."""
        value = msgspec.json.encode(change)
        lost_replies = 0
        is_appended = False
        for attempt in itertools.count():
            try:
                if not is_appended:
                    await self._log.append(self._stream, value)
                    is_appended = True
            except errors.LogReplyLostError:
                lost_replies += 1
            reason = "the log does not hold it yet"
            try:
                found = await self._catch_up(change.change_id)
                if found is not None:
                    return _publication(change, found, lost_replies)
            except errors.LogReplyLostError as error:
                reason = str(error)
            delay = backoffs.delay(attempt, self._rng)
            if self._clock.elapsed() + delay >= until:
                raise errors.PublicationUnknownError(change.change_id, reason)
            await self._clock.sleep(delay)
        raise AssertionError("the loop returns or raises")

    async def _catch_up(self, change_id: str) -> Found | None:
        """Fold the stream up to its end, or up to the first record of ``change_id``."""
        while True:
            page = await self._read_page()
            for record in page.records:
                verdict = self._fold.apply(record.offset, bytes(record.value))
                if change_id and _change_id_of(record) == change_id:
                    return Found(record.offset, verdict)
            if self._fold.offset >= page.next or not page.records:
                return None

    async def _read_page(self) -> platforms.LogPage:
        try:
            return await self._log.read(self._stream, self._fold.offset)
        except errors.OffsetExpiredError as error:
            return await self._log.read(self._stream, error.first)


class _ChangeId(msgspec.Struct, frozen=True):
    """The part of a record that identifies its change."""

    change_id: str = ""


_change_id_decoder = msgspec.json.Decoder(_ChangeId)


def _change_id_of(record: platforms.LogRecord) -> str:
    try:
        return _change_id_decoder.decode(record.value).change_id
    except msgspec.MsgspecError:
        return ""


def _publication(change: records.ChangeRecord, found: Found, lost_replies: int) -> Publication:
    return Publication(
        change_id=change.change_id,
        offset=found.offset,
        verdict=found.verdict,
        lost_replies=lost_replies,
    )
