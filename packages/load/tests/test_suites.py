import collections

from chiveridge_kernel import policies
from chiveridge_load import scenarios, suites

CASES = suites.full_suite(seed=1)


def test_suite_has_every_scenario_under_a_known_policy():
    assert {case.scenario for case in CASES} == set(scenarios.SCENARIOS_BY_NAME)
    assert {case.policy for case in CASES} <= set(policies.names())


def test_steady_cases_cover_both_deployments_loads_and_sizes():
    covered = {
        (case.deployment, case.load, case.job_mean)
        for case in CASES
        if case.scenario == "steady" and case.policy == policies.DEFAULT
    }
    assert covered == {
        (deployment, load, mean)
        for deployment in ("lagos", "hokkaido")
        for load in (0.5, 0.8)
        for mean in (1, 8)
    }


def test_compared_policies_run_only_at_steady_80_percent():
    others = [case for case in CASES if case.policy != policies.DEFAULT]
    assert {(case.scenario, case.load) for case in others} == {("steady", 0.8)}
    assert len({case.policy for case in CASES}) == len(policies.BUILT_IN)


def test_no_case_runs_twice():
    counts = collections.Counter(map(str, CASES))
    assert set(counts.values()) == {1}


def test_the_suite_takes_at_most_ten_minutes():
    assert suites.expected_duration_s(CASES) <= 600
