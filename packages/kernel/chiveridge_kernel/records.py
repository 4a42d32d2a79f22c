"""Records of the configuration stream in the platform's log.

An operator's change names every object it writes and the revision of that object it was
based on. Revisions are log offsets of the change that last wrote the object; 0 means the
object must not exist.
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
    """A calling team: labels, SHA-256 hex digests of its keys, and its limit of starts."""

    name: _Text
    labels: dict[str, str] = {}
    key_digests: list[Annotated[str, msgspec.Meta(pattern="^[0-9a-f]{64}$")]] = []
    max_starts: Annotated[int, msgspec.Meta(ge=0)] | None = None


class TargetObject(msgspec.Struct, forbid_unknown_fields=True, frozen=True, kw_only=True):
    """What operators say of a target: labels, and the teams its owner approved."""

    name: _Text
    labels: dict[str, str] = {}
    owner: str = ""
    approved_teams: list[str] = []


class RuleObject(msgspec.Struct, forbid_unknown_fields=True, frozen=True, kw_only=True):
    """A selector rule: approved teams that match ``teams`` reach targets that match ``targets``."""

    name: _Text
    teams: str = ""
    targets: str = ""


class ObjectWrite(msgspec.Struct, forbid_unknown_fields=True, frozen=True, kw_only=True):
    """One object of a change; all three objects unset means that it is deleted."""

    kind: ObjectKind
    name: _Text
    based_on: Annotated[int, msgspec.Meta(ge=0)] = 0
    team: TeamObject | None = None
    target: TargetObject | None = None
    rule: RuleObject | None = None

    def is_deletion(self) -> bool:
        """Tell whether the object is deleted."""
        return self.team is None and self.target is None and self.rule is None


class ChangeRecord(msgspec.Struct, tag="change", tag_field="type", frozen=True, kw_only=True):
    """An operator's change, applied whole or not at all; ``change_id`` makes it idempotent."""

    change_id: _Text
    actor: _Text
    changed_at: str
    writes: Annotated[list[ObjectWrite], msgspec.Meta(min_length=1, max_length=10_000)]
    comment: str = ""


class SnapshotRecord(msgspec.Struct, tag="snapshot", tag_field="type", frozen=True, kw_only=True):
    """One chunk of a snapshot of the folded state before offset ``base``.

    ``digest`` is the SHA-256 of the joined chunks; ``data`` is base64 in the log's JSON.
    """

    base: Annotated[int, msgspec.Meta(ge=1)]
    digest: Annotated[str, msgspec.Meta(pattern="^[0-9a-f]{64}$")]
    index: Annotated[int, msgspec.Meta(ge=0)]
    count: Annotated[int, msgspec.Meta(ge=1, le=MAX_SNAPSHOT_CHUNKS)]
    data: bytes


class Verdict(enum.Enum):
    """What the fold decided about a change."""

    ACCEPTED = "accepted"
    CONFLICT = "conflict"
    INVALID = "invalid"
    DUPLICATE = "duplicate"


def intern_team_names(value: msgspec.Struct) -> msgspec.Struct:
    """Keep each name of an approved team once, however many targets approve it."""
    if isinstance(value, TargetObject):
        approved = [sys.intern(name) for name in value.approved_teams]
        return msgspec.structs.replace(value, approved_teams=approved)
    return value
