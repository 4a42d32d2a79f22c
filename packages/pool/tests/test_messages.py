"""Nodes of an earlier version decode a target by its keys, so the keys must stay as they are."""

import msgspec

from chiveridge_pool import identifiers, messages, resources, targets

_SENDER = identifiers.NodeId("n1.1")
_TARGET = targets.Target(
    id=identifiers.TargetId("t1"),
    service=identifiers.ServiceName("ocr"),
    address="10.0.0.1:80",
    domain=identifiers.DomainName("lagos"),
    capacity=resources.Resources(cpu=4000, memory_mb=8192, accelerators=1),
    labels=("rack=r1",),
    is_draining=True,
    started_at_ms=1_700_000_000_000,
)
_ENCODED_TARGET = {
    "id": "t1",
    "service": "ocr",
    "address": "10.0.0.1:80",
    "zone": "lagos",
    "capacity": [4000, 8192, 1],
    "labels": ["rack=r1"],
    "is_draining": True,
    "born": 1_700_000_000_000,
}


def test_targets_message_keeps_the_keys_of_a_target() -> None:
    message = messages.Targets(sender=_SENDER, targets=(_TARGET,))

    data = messages.encode(message)

    # Nodes of an earlier version ignore what follows the fields that they know.
    assert msgspec.msgpack.decode(data) == ["tg", "n1.1", [_ENCODED_TARGET], False]
    assert messages.decode(data) == message


def test_messages_of_an_earlier_version_are_read_without_the_fields_that_it_lacks() -> None:
    targets_message = msgspec.msgpack.encode(["tg", "n1.1", [_ENCODED_TARGET]])
    assert messages.decode(targets_message) == messages.Targets(
        sender=_SENDER, targets=(_TARGET,), are_new=False
    )
    withdrawal = msgspec.msgpack.encode(["wd", "n1.1", "a" * 16, 0])
    assert messages.decode(withdrawal) == messages.CapacityWithdrawal(
        sender=_SENDER, job=identifiers.JobId("a" * 16)
    )
    granted = msgspec.msgpack.encode(["gr", "n1.1", "a" * 16, 0, [], True])
    assert messages.decode(granted).is_isolated is False


def test_a_field_that_is_not_known_yet_is_ignored() -> None:
    message = messages.CapacityWithdrawal(sender=_SENDER, job=identifiers.JobId("a" * 16))
    fields = msgspec.msgpack.decode(messages.encode(message))
    assert messages.decode(msgspec.msgpack.encode([*fields, "new"])) == message


def test_handover_keeps_the_keys_of_a_target() -> None:
    message = messages.Handover(
        sender=_SENDER,
        target=_TARGET,
        token=identifiers.FencingToken(7),
        acknowledged=3,
        started_at_ms=1_700_000_000_000,
        runs=(),
        speed_excess=-0.5,
        speed_runs=12,
    )

    data = messages.encode(message)

    assert msgspec.msgpack.decode(data) == [
        "ho",
        "n1.1",
        _ENCODED_TARGET,
        7,
        3,
        1_700_000_000_000,
        [],
        -0.5,
        12,
    ]
    assert messages.decode(data) == message
