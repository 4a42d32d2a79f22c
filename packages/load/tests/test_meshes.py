import pytest

from chiveridge_kernel import policies
from chiveridge_load import meshes, slopes


def _make_mesh(policy):
    plan = meshes.MeshPlan(policy=policy, nodes=3, targets=6, teams=4, rules=2, jobs=10)
    return meshes.Mesh(plan, seed=1)


@pytest.mark.parametrize("policy", policies.names())
def test_every_job_starts_and_is_answered(policy):
    mesh = _make_mesh(policy)
    for _ in range(10):
        mesh.submit()
    assert (mesh.running, mesh.answers) == (10, 0)
    for _ in range(10):
        mesh.finish_oldest()
    assert (mesh.running, mesh.answers) == (0, 10)


def test_slope_has_a_time_for_each_size():
    slope = slopes.measure("targets", "power_of_two", seed=1, tasks=20)
    assert slope.sizes == [24, 240, 2400]
    assert len(slope.us_per_task) == 3
    assert min(slope.us_per_task) > 0
