"""Messages by which nodes of a domain share what they learn of targets."""

from typing import Annotated

import msgspec

from chiveridge_kernel import identifiers

Port = Annotated[int, msgspec.Meta(ge=1, le=65_535)]


class TargetLeaving(msgspec.Struct, frozen=True, kw_only=True, tag="target_leaving"):
    """Tells that a target refused a start as leaving; the address tells VMs of a name apart."""

    target: identifiers.TargetName
    address: str
    port: int
    lifetime_ms: Annotated[int, msgspec.Meta(ge=0)]


class ProbeRequest(msgspec.Struct, frozen=True, kw_only=True, tag="probe_request"):
    """Asks for an indirect probe of a target; the address tells VMs of a name apart."""

    sender: identifiers.NodeName
    target: identifiers.TargetName
    address: str
    port: Port


class ProbeReply(msgspec.Struct, frozen=True, kw_only=True, tag="probe_reply"):
    """Tells whether the sender reached a target just now."""

    sender: identifiers.NodeName
    target: identifiers.TargetName
    address: str
    port: Port
    is_reachable: bool
