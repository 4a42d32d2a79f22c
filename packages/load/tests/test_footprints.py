import pytest

from chiveridge_load import footprints


def test_means_are_over_the_nodes_that_ran_all_the_time():
    before = {
        "e1": footprints.Sample(1, 0.0, 1.0, 50.0, 100),
        "e2": footprints.Sample(2, 0.0, 1.0, 50.0, 100),
        "e3": footprints.Sample(3, 0.0, 1.0, 50.0, 100),
        "e4": footprints.Sample(4, 0.0, 1.0, 50.0, 100),
    }
    after = {
        "e1": footprints.Sample(1, 10.0, 2.0, 60.0, 1100),
        "e2": footprints.Sample(2, 10.0, 4.0, 70.0, 3100),
        "e3": footprints.Sample(9, 10.0, 9.0, 90.0, 0),
    }
    found = footprints.footprint_between(before, after)
    assert found.cpu_share == pytest.approx(0.2)
    assert found.memory_mb == 70.0
    assert found.peer_bytes == pytest.approx(200.0)


def test_footprint_is_zero_when_no_node_ran_all_the_time():
    assert footprints.footprint_between({}, {}) == footprints.Footprint()
