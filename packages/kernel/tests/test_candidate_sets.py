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
    candidates = candidate_sets.Candidates((big, small))
    assert candidates.fitting_vms(messages.TaskSpec(cores=1)) == (big, small)
    assert candidates.fitting_vms(messages.TaskSpec(cores=8)) == (big,)
    assert candidates.fitting_vms(messages.TaskSpec(cores=65)) == ()


@settings(derandomize=True, deadline=None, max_examples=200)
@given(SIZES, SIZES, strategies.sets(NAMES))
def test_candidates_with_changes_equal_candidates_built_from_scratch(before, added, removed):
    original = candidate_sets.Candidates(vm(name, cores) for name, cores in before.items())
    removed = original.filter_names(removed | added.keys())
    assert set(removed) <= before.keys()
    updated = original.with_changes(removed, [vm(name, cores) for name, cores in added.items()])
    kept = {name: cores for name, cores in before.items() if name not in removed}
    rebuilt = candidate_sets.Candidates(vm(name, cores) for name, cores in (kept | added).items())
    assert (updated.vms, updated.key) == (rebuilt.vms, rebuilt.key)
    assert {name for name in before | added if updated.contains(name)} == kept.keys() | added.keys()
    for cores in (1, 8, 64):
        task = messages.TaskSpec(cores=cores)
        assert updated.fitting_vms(task) == rebuilt.fitting_vms(task)
        if updated.fitting_vms(task):
            assert updated.minimum_capacity(task) == rebuilt.minimum_capacity(task)
