"""Records of the configuration stream in the platform's log.

An operator's change lists every object that it writes, with the revision of the object that it
is based on (optimistic concurrency control). The revision of an object is one more than the log
offset of the change that last wrote it; 0 means that the object does not exist.
"""

import enum
import sys
from typing import Annotated

import msgspec

MAX_SNAPSHOT_CHUNKS = 64

_Text = Annotated[str, msgspec.Meta(min_length=1, max_length=200)]


class ObjectKind(enum.Enum):
    """Kinds of configuration objects."""

    TEAM = "team"
    TARGET = "target"
    RULE = "rule"


class TeamObject(msgspec.Struct, forbid_unknown_fields=True, frozen=True, kw_only=True):
    """A calling team: its labels, the SHA-256 hex digests of its keys and its limit of starts."""

    name: _Text
    labels: dict[str, str] = {}
    key_digests: list[Annotated[str, msgspec.Meta(pattern="^[0-9a-f]{64}$")]] = []
    max_starts: Annotated[int, msgspec.Meta(ge=0)] | None = None


class TargetObject(msgspec.Struct, forbid_unknown_fields=True, frozen=True, kw_only=True):
    """The operators' description of a target: its labels and the teams that its owner approved."""

    name: _Text
    labels: dict[str, str] = {}
    owner: str = ""
    approved_teams: list[str] = []


class RuleObject(msgspec.Struct, forbid_unknown_fields=True, frozen=True, kw_only=True):
    """A rule: approved teams matching ``teams`` may use (reach) targets matching ``targets``."""

    name: _Text
    teams: str = ""
    targets: str = ""


class ObjectWrite(msgspec.Struct, forbid_unknown_fields=True, frozen=True, kw_only=True):
    """One object written by a change, or deleted when team, target and rule are all unset."""

    kind: ObjectKind
    name: _Text
    based_on: Annotated[int, msgspec.Meta(ge=0)] = 0
    team: TeamObject | None = None
    target: TargetObject | None = None
    rule: RuleObject | None = None

    def is_deletion(self) -> bool:
        """Return whether the object is deleted."""
        return self.team is None and self.target is None and self.rule is None


class ChangeRecord(msgspec.Struct, tag="change", tag_field="type", frozen=True, kw_only=True):
    """An operator's change, applied atomically; ``change_id`` makes it idempotent."""

    change_id: _Text
    actor: _Text
    changed_at: str
    writes: Annotated[list[ObjectWrite], msgspec.Meta(min_length=1, max_length=10_000)]
    comment: str = ""


class SnapshotRecord(msgspec.Struct, tag="snapshot", tag_field="type", frozen=True, kw_only=True):
    """One chunk of a snapshot of the state after the records before offset ``base``.

    ``digest`` is the SHA-256 hex digest of the joined chunks; ``data`` is base64 in the log's JSON.
    """

    base: Annotated[int, msgspec.Meta(ge=1)]
    digest: Annotated[str, msgspec.Meta(pattern="^[0-9a-f]{64}$")]
    index: Annotated[int, msgspec.Meta(ge=0)]
    count: Annotated[int, msgspec.Meta(ge=1, le=MAX_SNAPSHOT_CHUNKS)]
    data: bytes


class Verdict(enum.Enum):
    """The result of applying a change."""

    ACCEPTED = "accepted"
    CONFLICT = "conflict"
    INVALID = "invalid"
    DUPLICATE = "duplicate"


def intern_team_names(value: msgspec.Struct) -> msgspec.Struct:
    """Intern the approved teams of a target, so that equal names share one string in memory."""
    if isinstance(value, TargetObject):
        approved = [sys.intern(name) for name in value.approved_teams]
        return msgspec.structs.replace(value, approved_teams=approved)
    return value
