import contextlib

import hypothesis
import hypothesis.strategies as st
import msgspec
import pytest

from chiveridge_kernel import peers

VERSION = bytes([peers.PROTOCOL_VERSION])
HEARTBEAT = peers.Heartbeat(sender="ikeja-e1", incarnation="b" * 20, sequence=80_000)


def tagged(tag: object) -> bytes:
    return VERSION + msgspec.msgpack.encode({"type": tag})


@pytest.mark.parametrize(
    ("data", "reason"),
    [
        (b"", peers.DropReason.UNKNOWN_VERSION),
        (b"\x02" + peers.encode(HEARTBEAT)[1:], peers.DropReason.UNKNOWN_VERSION),
        (VERSION, peers.DropReason.CORRUPT),
        (VERSION + b"\x91" * 100_000, peers.DropReason.CORRUPT),
        (peers.encode(HEARTBEAT)[:-1], peers.DropReason.CORRUPT),
        (tagged("hb"), peers.DropReason.CORRUPT),
        (tagged(7), peers.DropReason.CORRUPT),
        (tagged("of a later version"), peers.DropReason.UNKNOWN_TYPE),
        (VERSION + b" " * peers.MAX_PEER_MESSAGE_BYTES, peers.DropReason.OVERSIZED),
    ],
)
def test_decoding_reports_why_a_message_is_dropped(data, reason):
    with pytest.raises(peers.PeerMessageError) as caught:
        peers.decode(data)
    assert caught.value.reason is reason


@hypothesis.settings(derandomize=True, max_examples=300, database=None)
@hypothesis.given(
    position=st.integers(0, 80), replacement=st.binary(max_size=4), junk=st.binary(max_size=64)
)
def test_decoding_mutated_bytes_returns_a_heartbeat_or_raises_peer_message_error(
    position, replacement, junk
):
    data = peers.encode(HEARTBEAT)
    for changed in (data[:position] + replacement + data[position + 1 :], VERSION + junk):
        with contextlib.suppress(peers.PeerMessageError):
            assert isinstance(peers.decode(changed), peers.Heartbeat)


def test_the_largest_heartbeat_fits_the_size_assumed_by_the_byte_budget():
    largest = peers.Heartbeat(
        sender="ikeja-e123", incarnation="b" * 20, sequence=2**31, echo=2**31, offset=2**31
    )
    assert len(peers.encode(largest)) <= 72
