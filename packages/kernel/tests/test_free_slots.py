import hypothesis
from hypothesis import strategies

from chiveridge_kernel import free_slots

NAMES = [f"t{number}" for number in range(40)]


def spread_by_full_scan(free_by_name: dict[str, int], allowed: set[str], count: int) -> list[str]:
    """Choose slots by a scan of all targets for each slot; the index must choose the same."""
    remaining = {name: free_by_name.get(name, 0) for name in sorted(allowed)}
    chosen: list[str] = []
    while len(chosen) < count:
        name = max(remaining, key=remaining.__getitem__, default=None)
        if name is None or remaining[name] <= 0:
            break
        remaining[name] -= 1
        chosen.append(name)
    return chosen


@hypothesis.settings(derandomize=True, max_examples=300, deadline=None, database=None)
@hypothesis.given(
    puts=strategies.lists(
        strategies.tuples(strategies.sampled_from(NAMES), strategies.integers(0, 9))
    ),
    allowed=strategies.sets(strategies.sampled_from([*NAMES, "not-indexed"])),
    count=strategies.integers(0, 120),
)
def test_the_index_chooses_the_same_targets_as_a_full_scan(puts, allowed, count):
    index = free_slots.FreeSlots(NAMES)
    for name, free in puts:
        index.set_free(name, free)
    free_by_name = dict(puts)
    mask = index.mask_of(allowed)
    assert list(index.names_in(mask)) == sorted(allowed & set(NAMES))
    assert index.spread(mask, count) == spread_by_full_scan(free_by_name, allowed, count)
    assert index.count(mask) == sum(free_by_name.get(name, 0) for name in allowed)
    assert all(index.free(name) == free for name, free in free_by_name.items())


def test_setting_free_slots_of_an_unindexed_target_changes_nothing():
    index = free_slots.FreeSlots(["t1"])
    index.set_free("t2", 3)
    assert (index.free("t2"), index.count(index.mask_of(["t1", "t2"]))) == (0, 0)
