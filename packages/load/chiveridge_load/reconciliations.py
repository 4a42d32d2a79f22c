"""Compares the answers that callers received with the starts that the targets counted."""

import collections

import msgspec

from chiveridge_kernel import results
from chiveridge_load import generators, workloads
from chiveridge_standins import task_counts


class Start(msgspec.Struct, frozen=True):
    """One start of a task; ``at_ms`` is in milliseconds since the Unix epoch."""

    target: str
    at_ms: int


class Starts(msgspec.Struct, frozen=True):
    """Number of start requests to all targets, starts by task key, and sorted target names."""

    requests: int
    by_key: dict[str, list[Start]]
    targets: list[str] = []


class ReconciliationResult(msgspec.Struct, kw_only=True):
    """Faults found, and numbers of tasks and starts by their use.

    ``useful`` and ``discarded`` count the started tasks of jobs that did and did not complete,
    ``repeated`` the starts after a task's first, and ``requests`` all start requests.
    """

    faults: list[str] = []
    useful: int = 0
    discarded: int = 0
    repeated: int = 0
    requests: int = 0

    @property
    def wasted_share(self) -> float:
        """Share of the start requests that were refused, repeated or discarded."""
        return 1 - self.useful / self.requests if self.requests else 0.0


def collect_starts(counts_by_target: dict[str, task_counts.Counts]) -> Starts:
    """Merge the counts of all targets."""
    by_key: dict[str, list[Start]] = collections.defaultdict(list)
    for target, target_counts in counts_by_target.items():
        for key, start_times_ms in target_counts.started_at_ms.items():
            by_key[key] += [Start(target, at_ms) for at_ms in start_times_ms]
    requests = sum(target_counts.total_requests for target_counts in counts_by_target.values())
    return Starts(requests, dict(by_key), sorted(counts_by_target))


def reconcile(
    jobs: list[workloads.JobPlan], records: list[generators.JobRecord], starts: Starts
) -> ReconciliationResult:
    """Check every record against the counts; a job without a record has lost its answer."""
    verdict = ReconciliationResult(requests=starts.requests)
    records_by_index = {record.index: record for record in records}
    for job in jobs:
        record = records_by_index.get(job.index)
        if record is None:
            verdict.faults.append(f"job {job.index}: no answer")
            continue
        _check_job(job, record, starts, verdict)
    return verdict


def _check_job(
    job: workloads.JobPlan,
    record: generators.JobRecord,
    starts: Starts,
    verdict: ReconciliationResult,
) -> None:
    if record.fault:
        verdict.faults.append(f"job {job.index}: {record.fault}")
    is_complete = record.code is results.ResultCode.COMPLETE
    for index in range(len(job.run_ms)):
        count = len(starts.by_key.get(job.key(index), []))
        outcome = _reported_outcome(record, index)
        fault = _outcome_fault(outcome, count)
        if fault:
            verdict.faults.append(f"job {job.index} task {index}: {fault}")
        verdict.repeated += max(count - 1, 0)
        verdict.useful += int(is_complete and count > 0)
        verdict.discarded += int(not is_complete and count > 0)


def _reported_outcome(record: generators.JobRecord, index: int) -> results.TaskOutcome:
    """Return the outcome of a task that its caller received, or ``UNKNOWN`` if none."""
    if index < len(record.outcomes):
        return record.outcomes[index]
    return record.ran or results.TaskOutcome.UNKNOWN


def _outcome_fault(outcome: results.TaskOutcome, count: int) -> str:
    if count > 1:
        return f"started {count} times"
    if outcome is results.TaskOutcome.NOT_RUN and count:
        return "reported as not run, but started"
    if outcome in (results.TaskOutcome.SUCCEEDED, results.TaskOutcome.RAN) and not count:
        return f"reported as {outcome.value}, but never started"
    return ""
