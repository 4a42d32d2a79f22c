"""Caches the targets that a task fits and that accept new work, until the target table changes."""

from collections.abc import Sequence

from chiveridge_kernel import jobs, targets, vms


class EligibleTargets:
    """Eligible targets for each tuple of targets that a task fits."""

    def __init__(self, target_table: targets.TargetTable):
        self._target_table = target_table
        self._entries_by_fitting_id: dict[int, tuple[Sequence[vms.Vm], Sequence[vms.Vm]]] = {}
        self._table_version = -1

    def for_task(self, job: jobs.Job, task: jobs.Task) -> Sequence[vms.Vm]:
        """Return the targets that a task of a job may be sent to, now or once a probe has ended."""
        if self._table_version != self._target_table.version:
            self._entries_by_fitting_id.clear()
            self._table_version = self._target_table.version
        fitting = job.candidates.fitting_vms(task.spec)
        # The key is the id of an object, so the entry keeps the object alive.
        entry = self._entries_by_fitting_id.get(id(fitting))
        if entry is None:
            found = [vm for vm in fitting if self._target_table.is_eligible(vm.name)]
            entry = (fitting, found)
            self._entries_by_fitting_id[id(fitting)] = entry
        return entry[1]
