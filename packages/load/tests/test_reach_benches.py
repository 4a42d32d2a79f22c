from chiveridge_load import reach_benches


def test_figures_of_a_small_size_are_complete():
    figures = reach_benches.measure(targets=8, teams=4, rules=3, rounds=2, seed=1)
    assert (figures.targets, figures.teams, figures.rules) == (8, 4, 3)
    assert min(figures.task_us, figures.query_us, figures.requery_us, figures.memory_mb) > 0
    assert figures.snapshot_chunks == 1


def test_changes_of_every_kind_are_accepted():
    bench = reach_benches.Bench(targets=8, teams=4, rules=3, seed=1)
    bench.publish_all()
    for kind, names in (("team", bench.teams), ("target", bench.targets), ("rule", bench.rules)):
        kind = reach_benches.records.ObjectKind(kind)
        bench.apply_writes([bench.make_write(kind, name) for name in names])
        bench.query_all()
        assert bench.configuration.audit_trail.entries()[-1].verdict.value == "accepted"


def test_choice_of_candidates_for_a_task_is_measured_separately():
    figures = reach_benches.measure_task(targets=24, teams=4, rules=3, seed=1)
    assert figures.targets == 24
    assert figures.task_us > 0
