import msgspec
import pytest

from chiveridge_kernel import errors, vms


def target(name: str, port: int = 7001) -> vms.Vm:
    return vms.Vm(name=name, role=vms.VmRole.TARGET, domain="ikeja", address="127.0.0.1", port=port)


CURRENT = vms.VmList(4, [target("t1"), target("t2"), target("t3")])


def test_changes_are_merged_into_the_current_list():
    moved = target("t2", 7002)
    reply = vms.VmListReply(version=6, since=4, vms=[moved, target("t4")], gone=["t1", "t9"])
    merged_list = vms.merged(CURRENT, reply)
    assert merged_list == vms.VmList(6, [moved, target("t3"), target("t4")])
    assert merged_list.vms[1] is CURRENT.vms[2]


def test_a_full_list_replaces_the_current_list():
    full_reply = vms.VmListReply(version=2, vms=[target("t5")])
    assert vms.merged(CURRENT, full_reply) == vms.VmList(2, [target("t5")])
    assert vms.merged(None, full_reply) == vms.VmList(2, [target("t5")])


def test_a_reply_without_changes_returns_the_same_list():
    assert vms.merged(CURRENT, vms.VmListReply(version=4, since=4)) is CURRENT


@pytest.mark.parametrize("current", [None, msgspec.structs.replace(CURRENT, version=3)])
def test_changes_since_another_version_are_refused(current):
    with pytest.raises(errors.VmListError, match="changes since version 4"):
        vms.merged(current, vms.VmListReply(version=6, since=4, vms=[target("t4")]))
