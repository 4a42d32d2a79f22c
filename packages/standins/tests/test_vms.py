import datetime

from chiveridge_standins import vms


class ManualClock:
    def __init__(self):
        self.time = datetime.datetime(2026, 1, 1, tzinfo=datetime.UTC)

    def now(self) -> datetime.datetime:
        return self.time

    def advance(self, ms: int) -> None:
        self.time += datetime.timedelta(milliseconds=ms)


def target(name: str) -> vms.Vm:
    return vms.Vm(name=name, role=vms.VmRole.TARGET, domain="ikeja", address="127.0.0.1", port=7001)


def names(registry: vms.VmRegistry) -> list[str]:
    return [vm.name for vm in registry.visible_list().vms]


def test_lists_writes_at_once_without_lag():
    registry = vms.VmRegistry(ManualClock())
    registry.put(target("t1"))
    assert names(registry) == ["t1"]
    assert registry.delete("t1")
    assert not registry.delete("t1")
    assert registry.visible_list() == vms.VmList(2, [])


def test_lists_writes_after_the_lag():
    clock = ManualClock()
    registry = vms.VmRegistry(clock)
    registry.set_faults(vms.VmFaults(lag_ms=500))
    registry.put(target("t1"))
    clock.advance(300)
    registry.put(target("t2"))
    assert names(registry) == []
    clock.advance(200)
    assert names(registry) == ["t1"]
    clock.advance(300)
    assert names(registry) == ["t1", "t2"]


def test_read_since_a_version_returns_only_changes():
    registry = vms.VmRegistry(ManualClock())
    for name in ("t1", "t2", "t3"):
        registry.put(target(name))
    registry.delete("t2")
    assert registry.read(4) == vms.VmListReply(version=4, vms=[], since=4)
    assert registry.read(2) == vms.VmListReply(version=4, vms=[target("t3")], since=2, gone=["t2"])


def test_returns_the_whole_list_when_changes_are_unknown():
    registry = vms.VmRegistry(ManualClock())
    for number in range(vms.MAX_WRITES + 1):
        registry.put(target(f"t{number % 2}"))
    for since in (None, 0, vms.MAX_WRITES + 2):
        reply = registry.read(since)
        assert (reply.since, len(reply.vms)) == (None, 2)
    assert registry.read(1).since == 1
