import datetime

from chiveridge_kernel import circuit_breakers, clocks

NOW = clocks.EPOCH
OWNED = 8


def test_a_target_that_fails_tasks_of_healthy_teams_gets_only_probes():
    table = circuit_breakers.CircuitBreakers()
    table.record_failure("t1", "desk", OWNED, NOW)
    assert not table.is_open("t1")
    table.record_failure("t1", "registry", OWNED, NOW)
    assert table.is_open("t1")
    assert not table.claim_probe("t1", NOW)
    due = NOW + circuit_breakers.FIRST_PROBE_DELAY
    assert table.claim_probe("t1", due)
    assert not table.claim_probe("t1", due)


def test_a_successful_probe_closes_the_breaker_and_a_failed_one_doubles_the_delay():
    table = circuit_breakers.CircuitBreakers()
    for team in ("desk", "registry"):
        table.record_failure("t1", team, OWNED, NOW)
    due = NOW + circuit_breakers.FIRST_PROBE_DELAY
    table.record_failure("t1", "desk", OWNED, due)
    assert not table.claim_probe("t1", due + circuit_breakers.FIRST_PROBE_DELAY)
    assert table.claim_probe("t1", due + 2 * circuit_breakers.FIRST_PROBE_DELAY)
    table.record_success("t1", "desk", started_at=due)
    assert not table.is_open("t1")


def test_a_success_that_began_before_the_failures_does_not_close_the_breaker():
    table = circuit_breakers.CircuitBreakers()
    earlier = NOW - datetime.timedelta(milliseconds=300)
    table.record_failure("t1", "desk", OWNED, NOW)
    table.record_success("t1", "desk", started_at=earlier)
    table.record_failure("t1", "registry", OWNED, NOW)
    assert table.is_open("t1")
    table.record_success("t1", "registry", started_at=earlier)
    assert table.is_open("t1")


def test_a_success_that_began_after_the_first_failure_clears_the_evidence():
    table = circuit_breakers.CircuitBreakers()
    later = NOW + datetime.timedelta(milliseconds=300)
    table.record_failure("t1", "desk", OWNED, NOW)
    table.record_failure("t1", "broken", OWNED, later)
    table.record_success("t1", "desk", started_at=NOW + datetime.timedelta(milliseconds=100))
    assert not table.is_open("t1")
    table.record_failure("t1", "registry", OWNED, later)
    assert not table.is_open("t1")


def test_a_team_whose_tasks_always_fail_opens_no_breaker():
    table = circuit_breakers.CircuitBreakers()
    for attempt in range(400):
        target = f"t{attempt % OWNED}"
        now = NOW + attempt * datetime.timedelta(milliseconds=50)
        table.record_failure(target, "broken", OWNED, now)
        table.record_success(target, "desk", started_at=now)
    assert table.open_targets() == []


def test_only_a_share_of_the_breakers_can_be_open():
    table = circuit_breakers.CircuitBreakers()
    for number in range(OWNED):
        for team in ("a", "b", "c"):
            table.record_failure(f"t{number}", f"{team}{number}", OWNED, NOW)
    assert len(table.open_targets()) == int(circuit_breakers.MAX_OPEN_SHARE * OWNED)
