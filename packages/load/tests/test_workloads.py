import random
import statistics

import msgspec
import pytest

from chiveridge_load import workloads

WORKLOAD = workloads.Workload(load=0.8, slots=192, seconds=400, job_mean=8)


def test_trace_depends_only_on_its_seed():
    assert workloads.generate(WORKLOAD, 7) == workloads.generate(WORKLOAD, 7)
    assert workloads.generate(WORKLOAD, 7) != workloads.generate(WORKLOAD, 8)


@pytest.mark.parametrize("job_mean", [1, 8])
def test_run_times_add_up_to_the_load(job_mean):
    workload = msgspec.structs.replace(WORKLOAD, job_mean=job_mean)
    jobs = workloads.generate(workload, 1)
    total_run_s = sum(sum(job.run_ms) for job in jobs) / 1000
    assert total_run_s / (workload.slots * workload.seconds) == pytest.approx(0.8, rel=0.03)


def test_arrivals_are_open_loop_and_in_order():
    times = [job.at_s for job in workloads.generate(WORKLOAD, 1)]
    gaps = [later - earlier for earlier, later in zip(times, times[1:], strict=False)]
    mean = 1 / workloads.jobs_per_second(WORKLOAD)
    assert times == sorted(times)
    assert statistics.fmean(gaps) == pytest.approx(mean, rel=0.03)
    assert statistics.stdev(gaps) == pytest.approx(mean, rel=0.05)


def test_run_times_have_the_stated_mean_and_range():
    rng = random.Random(3)
    run_times = [workloads.draw_run_ms(rng) for _ in range(100_000)]
    assert statistics.fmean(run_times) == pytest.approx(workloads.mean_run_ms(), rel=0.01)
    assert workloads.mean_run_ms() == pytest.approx(349, abs=1)
    assert min(run_times) >= 50
    assert max(run_times) <= 5000
    assert sum(run_ms > 1000 for run_ms in run_times) / len(run_times) == pytest.approx(
        0.01, rel=0.1
    )


def test_job_sizes_have_the_mean_and_the_limit():
    rng = random.Random(3)
    sizes = [workloads.draw_job_size(rng, 8) for _ in range(100_000)]
    assert statistics.fmean(sizes) == pytest.approx(8, rel=0.02)
    assert (min(sizes), max(sizes)) == (1, 64)
    assert workloads.draw_job_size(rng, 1) == 1


def test_trace_is_unchanged_by_writing_and_reading(tmp_path):
    path = tmp_path / "trace.jsonl"
    jobs = workloads.generate(msgspec.structs.replace(WORKLOAD, seconds=5), 1)
    workloads.write_trace(path, jobs)
    assert workloads.read_trace(path) == jobs


def test_merged_traces_are_numbered_by_arrival():
    workload = msgspec.structs.replace(WORKLOAD, seconds=5)
    first = workloads.generate(workload, 1)
    second = workloads.generate(msgspec.structs.replace(workload, starts_at_s=2), 2)
    merged = workloads.merge(first, second)
    assert [job.index for job in merged] == list(range(len(first) + len(second)))
    assert [job.at_s for job in merged] == sorted(job.at_s for job in merged)
