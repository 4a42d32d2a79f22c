import asyncio

import pytest

from chiveridge_kernel import events, results


def metric_value(edge, name, **labels):
    return edge.node.metrics.registry.get_sample_value(name, labels)


@pytest.fixture
def changes(edge):
    """Return a function that gives the increase of a metric since the first call for it."""
    first_values = {}

    def increase(name, **labels):
        current = metric_value(edge, name, **labels)
        first = first_values.setdefault((name, *sorted(labels.items())), current)
        return current - first

    return increase


def report_lease_outcome(edge, outcome):
    event = events.LeaseReported(lease_id="no-such-lease", outcome=outcome)

    async def handle():
        edge.node.runner.handle_and_log_errors(event)

    edge.run_on_loop(handle())


def test_jobs_and_starts_are_counted(edge, changes):
    names = ("chiveridge_starts_total", "chiveridge_jobs_total", "chiveridge_start_outcomes_total")
    labels = ({}, {"code": "COMPLETE"}, {"outcome": "succeeded"})
    for name, label in zip(names, labels, strict=True):
        changes(name, **label)
    edge.submit(tasks=[{}, {}, {}])
    increases = [changes(name, **label) for name, label in zip(names, labels, strict=True)]
    assert increases == [3, 1, 3]
    assert metric_value(edge, "chiveridge_jobs_in_progress") == 0
    assert metric_value(edge, "chiveridge_config_offset") == 1


def test_refusals_are_counted_by_code(edge, changes):
    name = "chiveridge_refusals_total"
    for code in ("BAD_CREDENTIALS", "INVALID_FIELD", "NO_SUCH_PAGE"):
        changes(name, code=code)
    edge.submit(credential="desk.wrong")
    edge.submit(tasks=[])
    edge.request("GET", "/no/such/page")
    assert changes(name, code="BAD_CREDENTIALS") == 1
    assert changes(name, code="INVALID_FIELD") == 1
    assert changes(name, code="NO_SUCH_PAGE") == 1


def test_reports_on_unknown_leases_are_counted_as_discarded(edge, changes):
    name = "chiveridge_wasted_messages_total"
    changes(name, reason="discarded")
    changes(name, reason="lost")
    report_lease_outcome(edge, events.LeaseOutcome.LOST)
    assert changes(name, reason="discarded") == 1
    assert changes(name, reason="lost") == 0


def test_the_metrics_page_has_node_and_process_metrics(edge):
    text = edge.get_text("/metrics")
    assert "chiveridge_loop_lag_seconds_bucket" in text
    assert "process_cpu_seconds_total" in text
    assert all(f'code="{code.name}"' in text for code in results.ResultCode)


def test_the_lag_of_the_loop_is_measured(edge):
    async def wait_for_lag():
        while not metric_value(edge, "chiveridge_loop_lag_seconds_count"):
            await asyncio.sleep(0.01)

    edge.run_on_loop(wait_for_lag())
