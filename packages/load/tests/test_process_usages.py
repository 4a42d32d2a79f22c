import os

from chiveridge_load import process_usages


def test_own_process_uses_time_and_memory():
    spent_s = process_usages.cpu_s(os.getpid())
    assert 0 < spent_s < 3600
    assert 1 < process_usages.memory_mb(os.getpid()) < 100_000


def test_time_grows_with_work():
    before_s = process_usages.cpu_s(os.getpid())
    while process_usages.cpu_s(os.getpid()) == before_s:
        pass
    assert process_usages.cpu_s(os.getpid()) > before_s
