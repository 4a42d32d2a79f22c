"""Fetches the configuration and the list of VMs from peers while the platform is unreachable."""

import datetime
import random
from collections.abc import Callable, Iterable, Sequence

import msgspec

from chiveridge_kernel import (
    actions,
    configurations,
    members,
    peers,
    snapshot_decoders,
    snapshots,
    vms,
)

PEERS_PER_REQUEST = 3


class CatchUpSettings(msgspec.Struct, frozen=True, kw_only=True):
    """When and where requests to peers are sent.

    :param log_silence_limit: time without a successful read of the log after which it counts as
        unreachable; must be longer than a read waits for records.
    :param boot_interval: maximum time between requests while the configuration or the list of
        VMs is missing, or records have expired and no usable snapshot was found yet.
    :param interval: maximum time between requests afterwards.
    :param seeds: nodes to send requests to while there is no list of VMs.
    """

    log_silence_limit: datetime.timedelta = datetime.timedelta(seconds=15)
    boot_interval: datetime.timedelta = datetime.timedelta(seconds=1)
    interval: datetime.timedelta = datetime.timedelta(seconds=30)
    seeds: tuple[vms.Vm, ...] = ()


class CatchUp:
    """Sends requests to peers while the log is unreachable, and answers those of other nodes."""

    def __init__(
        self,
        settings: CatchUpSettings,
        configuration: configurations.Configuration,
        member_table: members.MemberTable,
        rng: random.Random,
        restore: Callable[[snapshots.Snapshot], None],
    ):
        self.log_last_read_at: datetime.datetime | None = None
        self.vms_last_read_at: datetime.datetime | None = None
        self.vm_list: vms.VmList | None = None
        self._settings = settings
        self._configuration = configuration
        self._members = member_table
        self._rng = rng
        self._restore = restore
        self._assembler = snapshot_decoders.SnapshotAssembler()
        self._next_request_at: datetime.datetime | None = None

    def request_if_due(self, now: datetime.datetime, is_scanning: bool) -> list[actions.Action]:
        """Return the requests to peers that are due.

        ``is_scanning`` is set while records have expired and no usable snapshot was found yet.
        """
        if self._next_request_at is None:
            self._next_request_at = now + self._settings.boot_interval
        if now < self._next_request_at:
            return []
        needs_vm_list = self.vm_list is None
        is_incomplete = needs_vm_list or is_scanning or self._configuration.offset == 0
        interval = self._settings.boot_interval if is_incomplete else self._settings.interval
        self._next_request_at = now + interval * self._rng.uniform(0.5, 1.0)
        if not (needs_vm_list or is_scanning or self._is_log_silent(now)):
            return []
        request = peers.ConfigurationAsk(
            offset=self._configuration.offset, wants_listing=needs_vm_list
        )
        return [actions.SendToPeer(peer=peer, message=request) for peer in self._choose_peers()]

    def handle_request(self, request: peers.ConfigurationAsk, route: bytes) -> list[actions.Action]:
        """Return the replies to a request of a peer."""
        replies: list[actions.Action] = []
        if request.wants_listing and self.vm_list is not None:
            reply = peers.ListingReply(listing=self.vm_list)
            replies.append(actions.ReplyToPeer(route=route, message=reply))
        if request.offset < self._configuration.offset:
            snapshot = self._configuration.snapshot()
            replies.append(actions.SendSnapshot(route=route, snapshot=snapshot))
        return replies

    def add_chunk(self, message: peers.ConfigurationChunk) -> None:
        """Add a chunk of a peer's configuration, unless it is no newer than this node's."""
        if message.chunk.base > self._configuration.offset:
            self._restore_if_complete(self._assembler.add(message.chunk))

    def is_decoding(self) -> bool:
        """Return whether a peer's configuration is being decoded."""
        return self._assembler.is_decoding()

    def step(self) -> None:
        """Do one step of decoding."""
        self._restore_if_complete(self._assembler.step())

    def _restore_if_complete(self, snapshot: snapshots.Snapshot | None) -> None:
        if snapshot is not None:
            self._restore(snapshot)

    def _is_log_silent(self, now: datetime.datetime) -> bool:
        return (
            self.log_last_read_at is None
            or now - self.log_last_read_at >= self._settings.log_silence_limit
        )

    def _choose_peers(self) -> Sequence[vms.Vm]:
        # When no node is live, requests go to nodes believed dead too: the view may be wrong.
        candidates = (
            self._other_vms(self._members.live_names())
            or self._other_vms(self._members.vms_by_name)
            or list(self._settings.seeds)
        )
        return self._rng.sample(candidates, min(PEERS_PER_REQUEST, len(candidates)))

    def _other_vms(self, names: Iterable[str]) -> list[vms.Vm]:
        found = (self._members.find_vm(name) for name in names if name != self._members.own_name)
        return [vm for vm in found if vm is not None]


def make_seed_vm(address: str, peer_port: int) -> vms.Vm:
    """Return a placeholder VM for a node of which only the endpoint is known."""
    return vms.Vm(
        name=f"{address}:{peer_port}",
        role=vms.VmRole.ENTRY,
        domain="",
        address=address,
        port=0,
        peer_port=peer_port,
    )


def staleness_s(read_at: datetime.datetime | None, now: datetime.datetime) -> float | None:
    """Return the seconds since the last successful read, or None when there was none."""
    return None if read_at is None else (now - read_at).total_seconds()
