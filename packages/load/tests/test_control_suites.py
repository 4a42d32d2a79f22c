import msgspec

from chiveridge_load import (
    control_benches,
    control_suites,
    pages,
    publication_benches,
    reach_benches,
    reports,
)

PUBLICATION = publication_benches.PublicationFigures(
    nodes=9,
    changes=30,
    publish_ms_median=2.0,
    publish_ms_max=3.0,
    in_force_ms_median=4.0,
    in_force_ms_max=6.0,
)
REACHES = [
    reach_benches.TaskFigures(targets=targets, task_us=task_us)
    for targets, task_us in ((24, 0.8), (4100, 0.9))
]
IDLE = [
    control_benches.Measurement(
        domains=1,
        nodes=25,
        jobs_per_second=0.0,
        bytes_per_second=800.0,
        wire_bytes_per_second=2200.0,
        messages_per_second=10.0,
        cpu_share=0.014,
        resident_mb=54.0,
    )
]


def _limits(publication=PUBLICATION, reaches=REACHES, idle=IDLE):
    return control_suites.limits(publication, reaches, idle)


def _missed(**changed):
    return [limit.name for limit in _limits(**changed) if not limit.passed]


def _replace(struct, **changes):
    return msgspec.structs.replace(struct, **changes)


def test_limits_are_those_of_the_intended_fleet_size():
    assert _missed() == []
    assert _missed(publication=_replace(PUBLICATION, in_force_ms_max=5_001.0)) == ["in_force_ms"]
    linear = [REACHES[0], _replace(REACHES[1], task_us=1.1)]
    assert _missed(reaches=linear) == ["selector_growth"]
    heavy = _replace(IDLE[0], wire_bytes_per_second=3_001.0, cpu_share=0.024, resident_mb=257.0)
    assert _missed(idle=[heavy]) == [
        "bytes_per_second_at_25_nodes",
        "cpu_share_at_25_nodes",
        "memory_mb_at_25_nodes",
    ]


def test_the_page_shows_control_with_its_limits():
    report = control_suites.ControlReport(
        publication=PUBLICATION,
        reaches=REACHES,
        idle=IDLE,
        limits=[reports.limit_result(limit) for limit in _limits()],
    )
    assert msgspec.json.decode(msgspec.json.encode(report), type=type(report)) == report
    text = pages.control_section(report)
    assert "30 changes to be in force on 9 nodes" in text
    assert "0.80 us at 24, 0.90 us at 4100" in text
    assert "| bytes_per_second_at_25_nodes | 2200.000 | 3000 | kept |" in text
