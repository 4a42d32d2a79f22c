"""Messages with which the nodes of a domain share what they know about targets."""

from typing import Annotated

import msgspec

from chiveridge_kernel import identifiers

Port = Annotated[int, msgspec.Meta(ge=1, le=65_535)]


class TargetLeaving(msgspec.Struct, frozen=True, kw_only=True, tag="target_leaving"):
    """Says that a target refused a start because it is leaving.

    The address and port distinguish successive VMs of one name.
    """

    target: identifiers.TargetName
    address: str
    port: int
    lifetime_ms: Annotated[int, msgspec.Meta(ge=0)]


class ProbeRequest(msgspec.Struct, frozen=True, kw_only=True, tag="probe_request"):
    """Requests an indirect probe of a target.

    The address and port distinguish successive VMs of one name.
    """

    sender: identifiers.NodeName
    target: identifiers.TargetName
    address: str
    port: Port


class ProbeReply(msgspec.Struct, frozen=True, kw_only=True, tag="probe_reply"):
    """Says whether the sender's probe reached the target."""

    sender: identifiers.NodeName
    target: identifiers.TargetName
    address: str
    port: Port
    is_reachable: bool
