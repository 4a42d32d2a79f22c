import os

from chiveridge_load import usages


def test_own_process_uses_time_and_memory():
    spent_s = usages.cpu_s(os.getpid())
    assert 0 < spent_s < 3600
    assert 1 < usages.memory_mb(os.getpid()) < 100_000


def test_time_grows_with_work():
    before_s = usages.cpu_s(os.getpid())
    while usages.cpu_s(os.getpid()) == before_s:
        pass
    assert usages.cpu_s(os.getpid()) > before_s
