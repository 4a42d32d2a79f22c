import itertools
import random

from chiveridge_load import fault_injectors, fault_jobs, fault_schedules

ComponentKind = fault_schedules.ComponentKind
NAMES_BY_COMPONENT_KIND = {
    ComponentKind.NODE: ["e1", "e2"],
    ComponentKind.TARGET: ["t1"],
    ComponentKind.PLATFORM: ["platform"],
}


def first_steps(seed):
    steps = fault_schedules.steps(random.Random(seed), NAMES_BY_COMPONENT_KIND, mean_gap_ms=50)
    return list(itertools.islice(steps, 300))


def test_seed_determines_steps_and_jobs():
    assert first_steps(3) == first_steps(3)
    assert first_steps(3) != first_steps(4)
    assert fault_jobs.generate_plans(random.Random(3), 9) == fault_jobs.generate_plans(
        random.Random(3), 9
    )


def test_component_has_one_fault_at_a_time():
    free_at_by_name = {}
    for step in first_steps(3):
        assert step.at_ms >= free_at_by_name.get(step.name, 0)
        free_at_by_name[step.name] = step.at_ms + step.duration_ms


def test_every_fault_can_be_drawn_and_injected():
    assert {step.fault for step in first_steps(3)} == set(fault_schedules.Fault)
    assert set(fault_injectors._INJECTIONS_BY_FAULT) == set(fault_schedules.Fault)
