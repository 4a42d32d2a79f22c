"""The configuration: the state after applying the records of the platform's log in order.

Applying is deterministic, so every node that has read the same records has the same state.
"""

import hashlib
import hmac
from collections.abc import Iterator

import msgspec

from chiveridge_kernel import audits, errors, identifiers, records, selectors, snapshots

MAX_REMEMBERED_CHANGES = 20_000
OBJECTS_PER_STEP = 64
"""Objects of a snapshot that one step restores."""

ObjectKey = tuple[records.ObjectKind, str]


class ChangeResult(msgspec.Struct, frozen=True, kw_only=True):
    """The verdict on one record; every node reaches the same one."""

    offset: identifiers.Offset
    verdict: records.Verdict
    change_id: str = ""
    actor: str = ""
    message: str = ""


class Configuration:
    """Teams, targets and rules after every record before ``offset``, the next one to read.

    Applying a record again has no effect, and ``offset`` never decreases.
    """

    def __init__(self):
        self.offset = identifiers.Offset(0)
        self.audit_trail = audits.AuditTrail()
        self.teams_by_name: dict[str, records.TeamObject] = {}
        self.targets_by_name: dict[str, records.TargetObject] = {}
        self.rules_by_name: dict[str, records.RuleObject] = {}
        self._changed_keys: set[ObjectKey] = set()
        self._revisions_by_key: dict[ObjectKey, int] = {}
        self._verdicts_by_change_id: dict[str, records.Verdict] = {}
        self._tables_by_kind = {
            records.ObjectKind.TEAM: self.teams_by_name,
            records.ObjectKind.TARGET: self.targets_by_name,
            records.ObjectKind.RULE: self.rules_by_name,
        }

    def revision_of(self, kind: records.ObjectKind, name: str) -> int:
        """Return the revision of an object, or 0 when it does not exist."""
        return self._revisions_by_key.get((kind, name), 0)

    def verdict_of(self, change_id: str) -> records.Verdict | None:
        """Return the verdict on a recent change, or None when it is unknown or too old."""
        return self._verdicts_by_change_id.get(change_id)

    def pop_changed_keys(self) -> set[ObjectKey]:
        """Return the keys of the objects written or deleted since the last call."""
        changed_keys, self._changed_keys = self._changed_keys, set()
        return changed_keys

    def apply(self, offset: identifiers.Offset, value: object) -> ChangeResult | None:
        """Apply one record, given as JSON bytes or as a decoded value.

        Return None when it is not the next record or is a chunk of a snapshot.
        """
        if offset != self.offset:
            return None
        self.offset = identifiers.Offset(offset + 1)
        try:
            record = decode_record(value)
        except errors.RecordError as error:
            return self._reject(offset, str(error))
        if isinstance(record, records.SnapshotRecord):
            return None
        return self._apply_change(offset, record)

    def snapshot(self) -> snapshots.Snapshot:
        """Return the complete state; its objects are shared, not copied."""
        return snapshots.Snapshot(
            base=self.offset,
            teams=self._objects_with_revisions(records.ObjectKind.TEAM),
            targets=self._objects_with_revisions(records.ObjectKind.TARGET),
            rules=self._objects_with_revisions(records.ObjectKind.RULE),
            verdicts=list(self._verdicts_by_change_id.items()),
            audit=self.audit_trail.entries(),
        )

    def restore(self, snapshot: snapshots.Snapshot) -> bool:
        """Restore a snapshot if it is newer than this state; return whether it was."""
        if snapshot.base <= self.offset:
            return False
        for _ in self.restore_in_steps(snapshot):
            pass
        return True

    def restore_in_steps(self, snapshot: snapshots.Snapshot) -> Iterator[None]:
        """Restore a snapshot in steps; the state is incomplete until the iterator is exhausted."""
        self.offset = snapshot.base
        self.audit_trail = audits.AuditTrail(snapshot.audit)
        self._verdicts_by_change_id = dict(snapshot.verdicts)
        self._changed_keys.update(self._revisions_by_key)
        self._revisions_by_key.clear()
        yield from self._restore_objects(records.ObjectKind.TEAM, snapshot.teams)
        yield from self._restore_objects(records.ObjectKind.TARGET, snapshot.targets)
        yield from self._restore_objects(records.ObjectKind.RULE, snapshot.rules)
        self._changed_keys.update(self._revisions_by_key)

    def replace_with(self, other: "Configuration") -> bool:
        """Take over the state of a newer configuration; return whether it was newer.

        The state is shared, so ``other`` must not be used afterwards.
        """
        if other.offset <= self.offset:
            return False
        self._changed_keys.update(self._revisions_by_key)
        self._changed_keys.update(other._revisions_by_key)
        self.offset = other.offset
        self.audit_trail = other.audit_trail
        self.teams_by_name = other.teams_by_name
        self.targets_by_name = other.targets_by_name
        self.rules_by_name = other.rules_by_name
        self._revisions_by_key = other._revisions_by_key
        self._verdicts_by_change_id = other._verdicts_by_change_id
        self._tables_by_kind = other._tables_by_kind
        return True

    def authenticate(self, credential: str) -> identifiers.TeamName | None:
        """Return the team that a ``TEAM.SECRET`` credential authenticates, or None."""
        name, _, secret = credential.partition(".")
        team = self.teams_by_name.get(name)
        digest = hashlib.sha256(secret.encode()).hexdigest()
        if team is None or not secret:
            return None
        if any(hmac.compare_digest(digest, key_digest) for key_digest in team.key_digests):
            return identifiers.TeamName(name)
        return None

    def _objects_with_revisions(self, kind: records.ObjectKind) -> list:
        table = self._tables_by_kind[kind]
        return [(self._revisions_by_key[kind, name], value) for name, value in table.items()]

    def _restore_objects(self, kind: records.ObjectKind, objects: list) -> Iterator[None]:
        table = self._tables_by_kind[kind]
        table.clear()
        for count, (revision, value) in enumerate(objects, 1):
            table[value.name] = value
            self._revisions_by_key[kind, value.name] = revision
            if count % OBJECTS_PER_STEP == 0:
                yield

    def _reject(self, offset: identifiers.Offset, message: str) -> ChangeResult:
        verdict = records.Verdict.INVALID
        self.audit_trail.add(audits.AuditEntry(offset=offset, verdict=verdict, message=message))
        return ChangeResult(offset=offset, verdict=verdict, message=message)

    def _apply_change(
        self, offset: identifiers.Offset, change: records.ChangeRecord
    ) -> ChangeResult:
        verdict, message = self._decide_verdict(change)
        if verdict is not records.Verdict.DUPLICATE:
            self._remember_verdict(change.change_id, verdict)
            self.audit_trail.add(audits.make_entry(offset, change, verdict, message))
        if verdict is records.Verdict.ACCEPTED:
            for write in change.writes:
                self._apply_write(offset, write)
        return ChangeResult(
            offset=offset,
            verdict=verdict,
            change_id=change.change_id,
            actor=change.actor,
            message=message,
        )

    def _decide_verdict(self, change: records.ChangeRecord) -> tuple[records.Verdict, str]:
        if change.change_id in self._verdicts_by_change_id:
            return records.Verdict.DUPLICATE, "a change with this change_id was processed before"
        for write in change.writes:
            revision = self.revision_of(write.kind, write.name)
            if revision != write.based_on:
                return records.Verdict.CONFLICT, self._conflict_message(write, revision)
        return records.Verdict.ACCEPTED, ""

    def _conflict_message(self, write: records.ObjectWrite, revision: int) -> str:
        message = (
            f"{write.kind.value} {write.name!r} is at revision {revision}, "
            f"the change was based on {write.based_on}"
        )
        winning_entry = self.audit_trail.find(identifiers.Offset(revision - 1))
        if winning_entry is None:
            return message
        return f"{message}; change {winning_entry.change_id!r} of {winning_entry.actor} wrote it"

    def _apply_write(self, offset: identifiers.Offset, write: records.ObjectWrite) -> None:
        table = self._tables_by_kind[write.kind]
        key = (write.kind, write.name)
        self._changed_keys.add(key)
        if write.is_deletion():
            table.pop(write.name, None)
            self._revisions_by_key.pop(key, None)
            return
        table[write.name] = records.intern_team_names(getattr(write, write.kind.value))
        self._revisions_by_key[key] = offset + 1

    def _remember_verdict(self, change_id: str, verdict: records.Verdict) -> None:
        self._verdicts_by_change_id[change_id] = verdict
        if len(self._verdicts_by_change_id) > MAX_REMEMBERED_CHANGES:
            self._verdicts_by_change_id.pop(next(iter(self._verdicts_by_change_id)))


def decode_record(value: object) -> records.ChangeRecord | records.SnapshotRecord:
    """Decode and validate a record of the configuration stream.

    :raises errors.RecordError: when it is malformed.
    """
    try:
        if isinstance(value, bytes):
            value = msgspec.json.decode(value)
        record = msgspec.convert(value, records.ChangeRecord | records.SnapshotRecord)
        if isinstance(record, records.ChangeRecord):
            _check_writes(record.writes)
    except (msgspec.MsgspecError, UnicodeError, RecursionError, errors.SelectorError) as error:
        raise errors.RecordError(str(error)) from error
    return record


def _check_writes(writes: list[records.ObjectWrite]) -> None:
    keys: set[ObjectKey] = set()
    for write in writes:
        _check_write(write)
        key = (write.kind, write.name)
        if key in keys:
            raise errors.RecordError(f"{write.kind.value} {write.name!r} is written twice")
        keys.add(key)


def _check_write(write: records.ObjectWrite) -> None:
    if write.is_deletion() and not write.based_on:
        raise errors.RecordError(f"{write.kind.value} {write.name!r} is deleted but based on 0")
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
    """Encode a change as JSON for the log."""
    return msgspec.json.encode(change)
