"""The configuration: a deterministic fold over the records of the platform's log."""

import hashlib
import hmac

import msgspec

from chiveridge_kernel import errors, identifiers, records, selectors

MAX_REMEMBERED_CHANGES = 20_000


class ChangeResult(msgspec.Struct, frozen=True, kw_only=True):
    """The verdict on one record, the same on every node."""

    offset: identifiers.Offset
    verdict: records.Verdict
    change_id: str = ""
    actor: str = ""
    message: str = ""


class Configuration:
    """Teams, targets and rules as of ``offset``, the next offset to read.

    Applying a record that was applied before changes nothing, and the offset never goes back.
    """

    def __init__(self):
        self.offset = identifiers.Offset(0)
        self.teams_by_name: dict[str, records.TeamObject] = {}
        self.targets_by_name: dict[str, records.TargetObject] = {}
        self.rules_by_name: dict[str, records.RuleObject] = {}
        self._revisions_by_key: dict[tuple[records.ObjectKind, str], int] = {}
        self._verdicts_by_change_id: dict[str, records.Verdict] = {}
        self._tables_by_kind = {
            records.ObjectKind.TEAM: self.teams_by_name,
            records.ObjectKind.TARGET: self.targets_by_name,
            records.ObjectKind.RULE: self.rules_by_name,
        }

    def revision_of(self, kind: records.ObjectKind, name: str) -> int:
        """Return the revision that last wrote an object, 0 when it does not exist."""
        return self._revisions_by_key.get((kind, name), 0)

    def apply(self, offset: identifiers.Offset, value: object) -> ChangeResult | None:
        """Apply one record read from the log; return None when it was applied before."""
        if offset < self.offset:
            return None
        self.offset = identifiers.Offset(offset + 1)
        try:
            change = _decode_change(value)
        except errors.RecordError as error:
            return ChangeResult(offset=offset, verdict=records.Verdict.INVALID, message=str(error))
        return self._apply_change(offset, change)

    def authenticate(self, credential: str) -> identifiers.TeamName | None:
        """Return the team that a ``TEAM.SECRET`` credential belongs to, or None."""
        name, _, secret = credential.partition(".")
        team = self.teams_by_name.get(name)
        digest = hashlib.sha256(secret.encode()).hexdigest()
        if team is None or not secret:
            return None
        if any(hmac.compare_digest(digest, known) for known in team.key_digests):
            return identifiers.TeamName(name)
        return None

    def _apply_change(
        self, offset: identifiers.Offset, change: records.ChangeRecord
    ) -> ChangeResult:
        verdict, message = self._judge(change)
        if verdict is not records.Verdict.DUPLICATE:
            self._remember(change.change_id, verdict)
        if verdict is records.Verdict.ACCEPTED:
            for write in change.writes:
                self._write(offset, write)
        return ChangeResult(
            offset=offset,
            verdict=verdict,
            change_id=change.change_id,
            actor=change.actor,
            message=message,
        )

    def _judge(self, change: records.ChangeRecord) -> tuple[records.Verdict, str]:
        if change.change_id in self._verdicts_by_change_id:
            return records.Verdict.DUPLICATE, "the change was read before"
        for write in change.writes:
            revision = self.revision_of(write.kind, write.name)
            if revision != write.based_on:
                message = (
                    f"{write.kind.value} {write.name!r} is at revision {revision}, "
                    f"the change was based on {write.based_on}"
                )
                return records.Verdict.CONFLICT, message
        return records.Verdict.ACCEPTED, ""

    def _write(self, offset: identifiers.Offset, write: records.ObjectWrite) -> None:
        table = self._tables_by_kind[write.kind]
        value = getattr(write, write.kind.value)
        key = (write.kind, write.name)
        if value is None:
            table.pop(write.name, None)
            self._revisions_by_key.pop(key, None)
            return
        table[write.name] = value
        self._revisions_by_key[key] = offset + 1

    def _remember(self, change_id: str, verdict: records.Verdict) -> None:
        self._verdicts_by_change_id[change_id] = verdict
        if len(self._verdicts_by_change_id) > MAX_REMEMBERED_CHANGES:
            self._verdicts_by_change_id.pop(next(iter(self._verdicts_by_change_id)))


def _decode_change(value: object) -> records.ChangeRecord:
    try:
        change = msgspec.convert(value, records.ChangeRecord)
        for write in change.writes:
            _check_write(write)
    except (msgspec.ValidationError, errors.SelectorError) as error:
        raise errors.RecordError(str(error)) from error
    return change


def _check_write(write: records.ObjectWrite) -> None:
    values = {"team": write.team, "target": write.target, "rule": write.rule}
    for field, value in values.items():
        if value is None:
            continue
        if field != write.kind.value or value.name != write.name:
            raise errors.RecordError(
                f"{write.kind.value} {write.name!r} carries {field} {value.name!r}"
            )
    if write.rule is not None:
        selectors.parse(write.rule.teams)
        selectors.parse(write.rule.targets)


def encode_change(change: records.ChangeRecord) -> bytes:
    """Return the JSON form of a change as it is appended to the log."""
    return msgspec.json.encode(change)
