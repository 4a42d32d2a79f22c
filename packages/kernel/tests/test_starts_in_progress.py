from chiveridge_kernel import starts_in_progress


def test_targets_and_teams_without_starts_are_not_listed():
    starts = starts_in_progress.StartsInProgress()
    for team in ("desk", "desk", "field"):
        starts.add("t1", team)
    starts.remove("t1", "desk")
    starts.remove("t1", "field")
    assert starts.count_by_target == {"t1": 1}
    assert starts.teams_by_target == {"t1": {"desk": 1}}
    starts.remove("t1", "desk")
    assert starts.count_by_target == starts.teams_by_target == {}
