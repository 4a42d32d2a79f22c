"""Reads the configuration from the platform's log with the same follower as the nodes."""

import msgspec

from chiveridge_client import errors, platforms
from chiveridge_kernel import configurations, followers, identifiers, records


class ChangeVerdict(msgspec.Struct, frozen=True):
    """A change in the log and the verdict on it."""

    change_id: str
    offset: identifiers.Offset
    verdict: records.Verdict
    message: str = ""


class Reader:
    """Reads one stream; ``configuration`` is the state as of the last :meth:`catch_up`."""

    def __init__(self, log: platforms.Log, stream: str):
        self.configuration = configurations.Configuration()
        self._log = log
        self._stream = stream
        self._follower = followers.Follower(self.configuration)

    async def catch_up(self) -> list[ChangeVerdict]:
        """Read up to the end of the stream; return the verdicts on the changes read in this call.

        :raises errors.LogError: when the log can't be read, or when records have expired and
            no whole snapshot replaces them.
        """
        verdicts: list[ChangeVerdict] = []
        while True:
            start = self._follower.read_offset
            try:
                page = await self._log.read(self._stream, start)
            except errors.OffsetExpiredError as error:
                self._follower.handle_expired(error.first_offset, error.next_offset)
                continue
            verdicts += self._apply(page)
            if not page.records or self._follower.read_offset >= page.next:
                break
        if self._follower.is_scanning:
            message = f"the records before {page.first} have expired and no whole snapshot is kept"
            raise errors.LogError(message)
        return verdicts

    async def find(self, change_id: str) -> ChangeVerdict | None:
        """Read up to the end of the stream; return the first verdict on a change, if any."""
        verdicts = [verdict for verdict in await self.catch_up() if verdict.change_id == change_id]
        return self._known_verdict(change_id) or (verdicts[0] if verdicts else None)

    def _apply(self, page: platforms.LogPage) -> list[ChangeVerdict]:
        ids_by_offset = {record.offset: _change_id_of(record) for record in page.records}
        pairs = [(record.offset, bytes(record.value)) for record in page.records]
        results = self._follower.process_records(pairs, page.first, page.next)
        return [
            ChangeVerdict(
                ids_by_offset[result.offset], result.offset, result.verdict, result.message
            )
            for result in results
        ]

    def _known_verdict(self, change_id: str) -> ChangeVerdict | None:
        """Return the verdict that the configuration keeps, even if the record has expired.

        The configuration keeps verdicts on well-formed changes only.
        """
        verdict = self.configuration.verdict_of(change_id)
        if verdict is None:
            return None
        for entry in self.configuration.audit_trail.entries():
            if entry.change_id == change_id:
                return ChangeVerdict(change_id, entry.offset, verdict, entry.message)
        return ChangeVerdict(change_id, identifiers.Offset(-1), verdict, "its record has expired")


class _ChangeId(msgspec.Struct, frozen=True):
    """The part of a record that identifies its change."""

    change_id: str = ""


_change_id_decoder = msgspec.json.Decoder(_ChangeId)


def _change_id_of(record: platforms.LogRecord) -> str:
    try:
        return _change_id_decoder.decode(record.value).change_id
    except (msgspec.MsgspecError, UnicodeError, RecursionError):
        return ""
