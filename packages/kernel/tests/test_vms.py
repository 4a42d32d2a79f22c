import msgspec
import pytest

from chiveridge_kernel import errors, vms


def target(name: str, port: int = 7001) -> vms.Vm:
    return vms.Vm(name=name, role=vms.VmRole.TARGET, domain="ikeja", address="127.0.0.1", port=port)


KNOWN = vms.VmList(4, [target("t1"), target("t2"), target("t3")])


def test_changes_are_merged_into_what_is_known():
    moved = target("t2", 7002)
    reply = vms.VmListReply(version=6, since=4, vms=[moved, target("t4")], gone=["t1", "t9"])
    found = vms.merged(KNOWN, reply)
    assert found == vms.VmList(6, [moved, target("t3"), target("t4")])
    assert found.vms[1] is KNOWN.vms[2]


def test_a_whole_list_replaces_what_is_known():
    whole = vms.VmListReply(version=2, vms=[target("t5")])
    assert vms.merged(KNOWN, whole) == vms.VmList(2, [target("t5")])
    assert vms.merged(None, whole) == vms.VmList(2, [target("t5")])


def test_no_changes_leave_the_same_list():
    assert vms.merged(KNOWN, vms.VmListReply(version=4, since=4)) is KNOWN


@pytest.mark.parametrize("known", [None, msgspec.structs.replace(KNOWN, version=3)])
def test_changes_since_another_version_are_refused(known):
    with pytest.raises(errors.VmListError, match="changes since version 4"):
        vms.merged(known, vms.VmListReply(version=6, since=4, vms=[target("t4")]))
