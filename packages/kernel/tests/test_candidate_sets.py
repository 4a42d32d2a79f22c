from hypothesis import given, settings, strategies

from chiveridge_kernel import candidate_sets, messages, vms

NAMES = strategies.sampled_from([f"t{number}" for number in range(8)])
SIZES = strategies.dictionaries(NAMES, strategies.sampled_from([2, 8, 64]))


def vm(name, cores=8):
    return vms.Vm(
        name=name, role=vms.VmRole.TARGET, domain="d", address="127.0.0.1", port=1, cores=cores
    )


def test_declared_needs_choose_among_the_candidates():
    big, small = vm("t1", cores=64), vm("t2", cores=2)
    found = candidate_sets.Candidates((big, small))
    assert found.fitting(messages.TaskSpec(cores=1)) == (big, small)
    assert found.fitting(messages.TaskSpec(cores=8)) == (big,)
    assert found.fitting(messages.TaskSpec(cores=65)) == ()


@settings(derandomize=True, deadline=None, max_examples=200)
@given(SIZES, SIZES, strategies.sets(NAMES))
def test_replaced_candidates_are_those_built_from_nothing(before, added, left):
    known = candidate_sets.Candidates(vm(name, cores) for name, cores in before.items())
    left = known.among(left | added.keys())
    assert set(left) <= before.keys()
    found = known.replaced(left, [vm(name, cores) for name, cores in added.items()])
    kept = {name: cores for name, cores in before.items() if name not in left}
    whole = candidate_sets.Candidates(vm(name, cores) for name, cores in (kept | added).items())
    assert (found.vms, found.key) == (whole.vms, whole.key)
    assert {name for name in before | added if found.holds(name)} == kept.keys() | added.keys()
    for cores in (1, 8, 64):
        task = messages.TaskSpec(cores=cores)
        assert found.fitting(task) == whole.fitting(task)
        if found.fitting(task):
            assert found.threshold(task) == whole.threshold(task)
