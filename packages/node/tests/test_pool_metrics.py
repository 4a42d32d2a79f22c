import datetime

from chiveridge_load import pool_models
from chiveridge_node import decision_logs, pool_metrics
from chiveridge_pool import actions, events, identifiers, jobs, notes, resources

MS = datetime.timedelta(milliseconds=1)


def make_job(number: int, cpu: int = 27_000) -> jobs.JobRequest:
    size = resources.Resources(cpu, 64, 0)
    return jobs.JobRequest(
        id=identifiers.JobId(f"{number:016x}"),
        queue=identifiers.QueueName("queue"),
        service=identifiers.ServiceName("service"),
        spec=f"100 {cpu} 64 0",
        steps=(jobs.StepRequest(count=2, size=size, estimate=100 * MS),),
        caller_timeout=2000 * MS,
        objective_factor=1.6,
        objective_base=60 * MS,
    )


def run_jobs(sizes: list[int]):
    """Run jobs at one node; return the callers' verdicts, the node's metrics and the end time."""
    model = pool_models.PoolModel()
    node = model.add_node("a")
    model.add_target("a")
    model.boot_all()
    log = decision_logs.DecisionLog("n1", len)
    metrics = pool_metrics.PoolMetrics(node.kernel, log)
    for number, cpu in enumerate(sizes):
        model.submit(node, make_job(number, cpu))
    model.run(seconds=4)
    for note in model.notes:
        metrics.record_decision(note)
    verdicts = [answer.verdict for answer in model.answers_by_caller.values()]
    return verdicts, metrics, model.simulation.now


def counter_values(metrics: pool_metrics.PoolMetrics, name: str) -> dict[str, float]:
    """Return the values of a counter by verdict or status, summed over its other labels."""
    found: dict[str, float] = {}
    for family in metrics.registry.collect():
        for sample in family.samples:
            if sample.name == name:
                key = sample.labels.get("verdict") or sample.labels.get("status")
                found[key] = found.get(key, 0) + sample.value
    return found


def test_answer_counts_match_the_verdicts_that_callers_received():
    verdicts, metrics, _ = run_jobs([27_000] * 8 + [500_000] * 3)
    expected = {verdict.value: verdicts.count(verdict) for verdict in set(verdicts)}
    assert expected["complete"] > 0
    assert expected["refused"] >= 3
    assert sum(expected.values()) == 11
    assert counter_values(metrics, "chiveridge_answers_total") == expected


def test_rejected_requests_are_counted_by_status():
    _, metrics, now = run_jobs([])
    for status in (404, 404, 400):
        fields = {"job": "x", "status": status, "reason": "no such queue"}
        metrics.record_decision(actions.Note(event=notes.NoteEvent.REQUEST_REJECTED, fields=fields))
    assert counter_values(metrics, "chiveridge_rejected_requests_total") == {"404": 2, "400": 1}
    text = metrics.render(now).decode()
    assert "chiveridge_targets_held 1.0" in text
    assert "chiveridge_members_live 0.0" in text


def test_attempts_are_counted_by_answer_and_only_once():
    """Also after the metrics were read twice."""
    model = pool_models.PoolModel()
    node = model.add_node("a")
    model.add_target("a")
    model.boot_all()
    metrics = pool_metrics.PoolMetrics(node.kernel, decision_logs.DecisionLog("n1", len))
    (target,) = model.targets_by_id.values()
    model.submit(node, make_job(1))
    model.run(seconds=1)
    metrics.refresh(model.simulation.now)
    target.rejects_starts_with = events.Failure.NO_ROOM
    model.submit(node, make_job(2))
    model.run(seconds=0.02)
    metrics.refresh(model.simulation.now)
    metrics.refresh(model.simulation.now)
    text = metrics.render(model.simulation.now).decode()
    assert 'chiveridge_start_attempts_total{result="accepted"} 2.0' in text
    assert 'chiveridge_start_attempts_total{result="no_room"} 2.0' in text


def test_ends_are_counted_by_proof_once_for_owner_and_job_node():
    _, metrics, now = run_jobs([])
    for event, proof in (
        (notes.NoteEvent.RUN_ENDED, "retry_due"),
        (notes.NoteEvent.RUN_LOST, "retry_due"),
        (notes.NoteEvent.RUN_LOST, "owner_lost_early"),
        (notes.NoteEvent.RUN_LOST, None),
    ):
        fields = {"job": "x", "how": "lost", "proof": proof}
        metrics.record_decision(actions.Note(event=event, fields=fields))
    text = metrics.render(now).decode()
    assert 'chiveridge_run_ends_total{proof="retry_due"} 1.0' in text
    assert 'chiveridge_run_ends_total{proof="owner_lost_early"} 1.0' in text
    assert text.count("chiveridge_run_ends_total{") == 2


def test_the_age_of_the_configuration_is_exported_and_unknown_before_the_first_read():
    ages = [datetime.timedelta(seconds=4), None]
    model = pool_models.PoolModel()
    node = model.add_node("a")
    model.boot_all()
    metrics = pool_metrics.PoolMetrics(
        node.kernel, decision_logs.DecisionLog("n1", len), config_age=lambda: ages.pop(0)
    )
    lines = [metrics.render(datetime.datetime.now(datetime.UTC)).decode() for _ in range(2)]
    assert "chiveridge_configuration_age_seconds 4.0" in lines[0]
    assert "chiveridge_configuration_age_seconds NaN" in lines[1]
