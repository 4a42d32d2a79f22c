"""Builders of jobs and simulated pools for the pool tests."""

import datetime

import msgspec

from chiveridge_client import traces
from chiveridge_load import pool_models
from chiveridge_node import decision_logs
from chiveridge_pool import actions, events, identifiers, jobs, resources

TASK_CPU = 27_000

_STEP_FIELDS = ("cpu", "estimate", "label", "rack", "per_target", "remote_factor")


def step(count: int = 1, work_ms: float = 100.0, **fields) -> jobs.StepRequest:
    """Return a step whose tasks declare a run time of ``work_ms``."""
    defaults = {
        "estimate": datetime.timedelta(milliseconds=work_ms),
        "size": resources.Resources(fields.pop("cpu", TASK_CPU), 64, 0),
    }
    return jobs.StepRequest(count=count, **{**defaults, **fields})


def job(name: str, count: int = 1, work_ms: float = 100.0, **fields) -> jobs.JobRequest:
    """Return a job with one step, or with the given ``steps``, whose tasks take ``work_ms``."""
    of_step = {key: fields.pop(key) for key in _STEP_FIELDS if key in fields}
    steps = fields.pop("steps", None) or (step(count, work_ms, **of_step),)
    size = steps[0].size
    defaults = {
        "caller_timeout": datetime.timedelta(seconds=3),
        "max_attempts": 3,
        "objective_factor": 1.6,
        "objective_base": datetime.timedelta(milliseconds=60),
    }
    return jobs.JobRequest(
        id=identifiers.JobId(name),
        queue=identifiers.QueueName("queue"),
        service=identifiers.ServiceName("service"),
        spec=f"{work_ms} {size.cpu} {size.memory_mb} {size.accelerators}",
        steps=steps,
        **{**defaults, **fields},
    )


def with_spec(request: jobs.JobRequest, spec: str) -> jobs.JobRequest:
    """Return a job with another spec."""
    return msgspec.structs.replace(request, spec=spec)


class DecisionLogs:
    """Collects the decision logs that the nodes of a model would write."""

    def __init__(self, model: pool_models.PoolModel):
        self._model = model
        self._text = bytearray()
        self._log_by_node: dict[str, decision_logs.DecisionLog] = {}
        model.on_note = self._note

    def _note(self, node: pool_models.NodeModel, note: actions.Note) -> None:
        incarnation = node.kernel.settings.node
        if incarnation not in self._log_by_node:
            self._log_by_node[incarnation] = decision_logs.DecisionLog(
                node.name, self._write, self._seconds, self._seconds
            )
        log = self._log_by_node[incarnation]
        log.record_decision(note)
        log.flush()

    def _seconds(self) -> float:
        return self._model.simulation.now.timestamp()

    def _write(self, data: bytes) -> int:
        self._text += data
        return len(data)

    def lines(self) -> list[traces.LogLine]:
        """Parse all log lines written so far."""
        return traces.parse_lines(self._text.decode().splitlines())

    def trace(self, job: str) -> traces.Trace:
        """Return the trace of a job, built from the logs."""
        return traces.trace_request(job, self.lines())


def pool(nodes_per_domain: int = 2, targets_per_domain: int = 4, domains: str = "abc", **settings):
    """Return a model of a pool whose nodes have all booted; ``settings`` are the model's."""
    model = pool_models.PoolModel(**settings)
    for domain in domains:
        for _ in range(nodes_per_domain):
            model.add_node(domain)
        for _ in range(targets_per_domain):
            model.add_target(domain)
    model.boot_all()
    return model


def node(model: pool_models.PoolModel, number: int) -> pool_models.NodeModel:
    """Return a node by its 1-based number."""
    return list(model.nodes_by_name.values())[number - 1]


def hand_over_all(old_owner: pool_models.NodeModel, new_owner: pool_models.NodeModel) -> None:
    """Hand all targets of a node to another one."""
    target_owner = old_owner.kernel.target_owner
    member = old_owner.kernel.members.by_endpoint[new_owner.endpoint]
    for owned in list(target_owner.owned_by_target.values()):
        target_owner._hand_over(owned, member, old_owner.pool.simulation.now)
    old_owner.handle(events.Ticked())
