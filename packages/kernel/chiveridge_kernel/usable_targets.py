"""Targets that a task fits on and that may be sent work now, kept until the table changes."""

from collections.abc import Sequence

from chiveridge_kernel import jobs, targets, vms


class UsableTargets:
    """Usable targets by the fitting ones of which they are a part."""

    def __init__(self, target_table: targets.TargetTable):
        self._target_table = target_table
        self._entries_by_fitting_id: dict[int, tuple[Sequence[vms.Vm], Sequence[vms.Vm]]] = {}
        self._table_version = -1

    def of(self, job: jobs.Job, task: jobs.Task) -> Sequence[vms.Vm]:
        """Return the targets that may be sent a task of a job now."""
        if self._table_version != self._target_table.version:
            self._entries_by_fitting_id.clear()
            self._table_version = self._target_table.version
        fitting = job.candidates.fitting(task.spec)
        # The key is an identity, so the entry keeps the object alive.
        entry = self._entries_by_fitting_id.get(id(fitting))
        if entry is None:
            found = [vm for vm in fitting if self._target_table.is_eligible(vm.name)]
            entry = (fitting, found)
            self._entries_by_fitting_id[id(fitting)] = entry
        return entry[1]
