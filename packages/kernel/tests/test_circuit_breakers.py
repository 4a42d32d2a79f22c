import datetime

from chiveridge_kernel import circuit_breakers, clocks

NOW = clocks.EPOCH
OWNED = 8


def test_a_target_that_fails_tasks_of_healthy_teams_gets_only_probes():
    table = circuit_breakers.Breakers()
    table.failed("t1", "desk", OWNED, NOW)
    assert not table.is_open("t1")
    table.failed("t1", "registry", OWNED, NOW)
    assert table.is_open("t1")
    assert not table.take_probe("t1", NOW)
    due = NOW + circuit_breakers.FIRST_PROBE_DELAY
    assert table.take_probe("t1", due)
    assert not table.take_probe("t1", due)


def test_a_successful_probe_closes_the_breaker_and_a_failed_one_doubles_the_delay():
    table = circuit_breakers.Breakers()
    for team in ("desk", "registry"):
        table.failed("t1", team, OWNED, NOW)
    due = NOW + circuit_breakers.FIRST_PROBE_DELAY
    table.failed("t1", "desk", OWNED, due)
    assert not table.take_probe("t1", due + circuit_breakers.FIRST_PROBE_DELAY)
    assert table.take_probe("t1", due + 2 * circuit_breakers.FIRST_PROBE_DELAY)
    table.succeeded("t1", "desk", started_at=due)
    assert not table.is_open("t1")


def test_a_success_that_began_before_the_failures_does_not_close_the_breaker():
    table = circuit_breakers.Breakers()
    earlier = NOW - datetime.timedelta(milliseconds=300)
    table.failed("t1", "desk", OWNED, NOW)
    table.succeeded("t1", "desk", started_at=earlier)
    table.failed("t1", "registry", OWNED, NOW)
    assert table.is_open("t1")
    table.succeeded("t1", "registry", started_at=earlier)
    assert table.is_open("t1")


def test_a_success_that_began_after_the_first_failure_clears_the_evidence():
    table = circuit_breakers.Breakers()
    later = NOW + datetime.timedelta(milliseconds=300)
    table.failed("t1", "desk", OWNED, NOW)
    table.failed("t1", "broken", OWNED, later)
    table.succeeded("t1", "desk", started_at=NOW + datetime.timedelta(milliseconds=100))
    assert not table.is_open("t1")
    table.failed("t1", "registry", OWNED, later)
    assert not table.is_open("t1")


def test_a_team_whose_tasks_always_fail_opens_no_breaker():
    table = circuit_breakers.Breakers()
    for attempt in range(400):
        target = f"t{attempt % OWNED}"
        now = NOW + attempt * datetime.timedelta(milliseconds=50)
        table.failed(target, "broken", OWNED, now)
        table.succeeded(target, "desk", started_at=now)
    assert table.open_names() == []


def test_only_a_share_of_the_breakers_can_be_open():
    table = circuit_breakers.Breakers()
    for number in range(OWNED):
        for team in ("a", "b", "c"):
            table.failed(f"t{number}", f"{team}{number}", OWNED, NOW)
    assert len(table.open_names()) == int(circuit_breakers.MAX_OPEN_SHARE * OWNED)
