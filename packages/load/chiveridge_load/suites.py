"""The set of cases that ``make bench`` runs."""

import msgspec

from chiveridge_kernel import policies
from chiveridge_load import scenarios, traces

COMPARED_POLICIES = ("shared_counts", "power_of_two", "round_robin", "random")
STEADY_LOADS = (0.8, 0.5)
JOB_MEANS = (8.0, 1.0)
STEADY_SECONDS_BY_MEAN = {8.0: 14.0, 1.0: 8.0}
"""Lengths of the steady traces; jobs of one task arrive more often, so fewer seconds suffice."""

CASE_OVERHEAD_S = 9.0
"""Time that a case takes beyond its trace to start the fleet, get the last answers and stop."""

MAIN_DEPLOYMENT = "lagos"
DEPLOYMENTS = (MAIN_DEPLOYMENT, "hokkaido")


class Case(msgspec.Struct, frozen=True, kw_only=True):
    """Parameters of one run: a scenario with its options, a policy and a deployment."""

    scenario: str
    deployment: str
    policy: str
    load: float
    job_mean: float
    seconds: float
    seed: int

    def title(self) -> str:
        """Return a one-line description."""
        options = self.options(slots=0)
        return (
            f"{self.scenario} {self.deployment} {self.policy}, load {options.load:g}, "
            f"mean {options.job_mean:g}, {options.seconds:g} s"
        )

    def options(self, slots: int) -> traces.Options:
        """Return the options of the trace, with the overrides of the scenario."""
        requested = traces.Options(
            load=self.load,
            job_mean=self.job_mean,
            seconds=self.seconds,
            slots=slots,
            seed=self.seed,
        )
        return scenarios.SCENARIOS_BY_NAME[self.scenario].options(requested)


def full_suite(seed: int) -> list[Case]:
    """Return all cases; policies other than the default run only the steady load of 80%."""
    default_policy = policies.DEFAULT
    compared_policies = [policy for policy in COMPARED_POLICIES if policy != default_policy]
    cases = [
        _steady_case(policy, MAIN_DEPLOYMENT, STEADY_LOADS[0], mean, seed)
        for mean in JOB_MEANS
        for policy in [default_policy, *compared_policies]
    ]
    cases += [
        _steady_case(default_policy, deployment, load, mean, seed)
        for deployment in DEPLOYMENTS
        for load in STEADY_LOADS
        for mean in JOB_MEANS
        if (deployment, load) != (MAIN_DEPLOYMENT, STEADY_LOADS[0])
    ]
    others = [name for name in scenarios.SCENARIOS_BY_NAME if name != "steady"]
    return [_scenario_case(name, default_policy, seed) for name in others] + cases


def expected_duration_s(cases: list[Case]) -> float:
    """Return the expected duration of the cases, in seconds, on an otherwise idle machine."""
    return sum(case.options(slots=0).seconds + CASE_OVERHEAD_S for case in cases)


def _steady_case(policy: str, deployment: str, load: float, mean: float, seed: int) -> Case:
    return Case(
        scenario="steady",
        deployment=deployment,
        policy=policy,
        load=load,
        job_mean=mean,
        seconds=STEADY_SECONDS_BY_MEAN[mean],
        seed=seed,
    )


def _scenario_case(name: str, policy: str, seed: int) -> Case:
    """Return the case of a scenario that overrides the load, job mean and length."""
    return msgspec.structs.replace(
        _steady_case(policy, MAIN_DEPLOYMENT, STEADY_LOADS[0], JOB_MEANS[0], seed), scenario=name
    )
