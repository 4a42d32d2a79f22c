"""Which targets a team may reach, and why not when it may not."""

from collections.abc import Mapping

from chiveridge_kernel import configurations, errors, identifiers, messages, results, selectors, vms

Capacity = tuple[int, int, int]
"""Memory in megabytes, cores and accelerators of a target."""


class Candidates:
    """Targets that a query may use, grouped by capacity so that needs are checked per group."""

    def __init__(self, found: tuple[vms.Vm, ...]):
        self.vms = found
        self._vms_by_capacity: dict[Capacity, list[vms.Vm]] = {}
        self._fitting_by_capacities: dict[tuple, tuple[vms.Vm, ...]] = {}
        for vm in found:
            capacity = (vm.memory_mb, vm.cores, vm.accelerators)
            self._vms_by_capacity.setdefault(capacity, []).append(vm)

    def fitting(self, task: messages.TaskSpec) -> tuple[vms.Vm, ...]:
        """Return the targets that are large enough for a task's declared needs."""
        capacities = self._fitting_capacities(task)
        if len(capacities) == len(self._vms_by_capacity):
            return self.vms
        found = self._fitting_by_capacities.get(capacities)
        if found is None:
            found = tuple(vm for key in capacities for vm in self._vms_by_capacity[key])
            self._fitting_by_capacities[capacities] = found
        return found

    def threshold(self, task: messages.TaskSpec) -> Capacity:
        """Return the smallest needs that the same targets fit, so that like tasks compare equal.

        The task must fit at least one target.
        """
        capacities = self._fitting_capacities(task)
        return tuple(min(amounts) for amounts in zip(*capacities, strict=True))

    def _fitting_capacities(self, task: messages.TaskSpec) -> tuple[Capacity, ...]:
        return tuple(capacity for capacity in self._vms_by_capacity if _fits(task, capacity))


class Reach:
    """Answers for one configuration and one list of VMs, cached until either changes."""

    def __init__(self, configuration: configurations.Configuration):
        self.version = 0
        self._configuration = configuration
        self._vms_by_name: Mapping[str, vms.Vm] = {}
        self._approved_by_team: dict[str, frozenset[str]] = {}
        self._candidates_by_query: dict[tuple[str, str], Candidates] = {}

    def invalidate(self) -> None:
        """Forget cached answers after the configuration changed."""
        self.version += 1
        self._approved_by_team.clear()
        self._candidates_by_query.clear()

    def replace_vms(self, vms_by_name: Mapping[str, vms.Vm]) -> None:
        """Take a new list of target VMs."""
        self._vms_by_name = vms_by_name
        self.invalidate()

    def candidates(self, team: identifiers.TeamName, selector_text: str) -> Candidates:
        """Return the targets that a team's submission may run on.

        :raises errors.RefusedError: when there is none, with the reason.
        """
        query = (team, selector_text)
        found = self._candidates_by_query.get(query)
        if found is None:
            found = Candidates(self._select(team, selector_text))
            self._candidates_by_query[query] = found
        return found

    def _select(self, team: identifiers.TeamName, selector_text: str) -> tuple[vms.Vm, ...]:
        selector = _parse(selector_text)
        matching = [
            vm for vm in self._vms_by_name.values() if selector.matches(self._labels_of(vm.name))
        ]
        if not matching:
            message = f"selector {selector_text!r} matches no target"
            raise errors.RefusedError(results.ResultCode.NO_SUCH_TARGET, message)
        approved = self._approved(team)
        found = tuple(vm for vm in matching if vm.name in approved)
        if not found:
            message = f"team {team!r} is not approved for any target that {selector_text!r} matches"
            raise errors.RefusedError(results.ResultCode.NOT_APPROVED, message)
        return found

    def _approved(self, team: identifiers.TeamName) -> frozenset[str]:
        approved = self._approved_by_team.get(team)
        if approved is None:
            approved = frozenset(name for name in self._vms_by_name if self._reaches(team, name))
            self._approved_by_team[team] = approved
        return approved

    def _reaches(self, team: identifiers.TeamName, target_name: str) -> bool:
        target = self._configuration.targets_by_name.get(target_name)
        caller = self._configuration.teams_by_name.get(team)
        if target is None or caller is None or team not in target.approved_teams:
            return False
        return any(
            selectors.parse(rule.teams).matches(caller.labels)
            and selectors.parse(rule.targets).matches(target.labels)
            for rule in self._configuration.rules_by_name.values()
        )

    def _labels_of(self, target_name: str) -> dict[str, str]:
        target = self._configuration.targets_by_name.get(target_name)
        return target.labels if target else {}


def _fits(task: messages.TaskSpec, capacity: Capacity) -> bool:
    memory_mb, cores, accelerators = capacity
    return task.memory_mb <= memory_mb and task.cores <= cores and task.accelerators <= accelerators


def _parse(text: str) -> selectors.Selector:
    try:
        return selectors.parse(text)
    except errors.SelectorError as error:
        message = f"selector: {error}"
        raise errors.RefusedError(results.ResultCode.INVALID_SELECTOR, message) from error
