"""Rows of a benchmark with their limits, and their output as a JSON file and a text table."""

import pathlib

import msgspec

from chiveridge_load import measurements

MAX_FAULTS_SHOWN = 5


class Limit(msgspec.Struct, frozen=True):
    """A measured value and its upper limit, or with ``at_least`` its lower limit."""

    name: str
    measured: float
    limit: float
    at_least: bool = False

    @property
    def passed(self) -> bool:
        """Whether the value is within the limit."""
        if self.at_least:
            return self.measured >= self.limit
        return self.measured <= self.limit


class LimitResult(msgspec.Struct, frozen=True, kw_only=True):
    """A limit and whether it was kept, as written to the report."""

    name: str
    measured: float
    limit: float
    at_least: bool
    passed: bool


class Row(msgspec.Struct, frozen=True, kw_only=True):
    """Results of a scenario under a policy; ratios are response time over ideal time.

    The quantiles are at :data:`measurements.QUANTILES`.
    """

    scenario: str
    deployment: str
    policy: str
    load: float
    job_mean: float
    delays: bool
    p50_ratio: float
    p99_ratio: float
    mean_ratio: float
    p50_bound: float
    p99_bound: float
    quantiles: list[float]
    bound_quantiles: list[float]
    wasted_share: float
    goodput_share: float
    refused_share: float
    wrong_answers: int
    jobs: int
    jobs_by_code: dict[str, int]
    lateness_ms: float
    node_cpu_share: float
    node_memory_mb: float
    node_peer_bytes: float
    seed: int
    seconds: float
    faults: list[str]
    limits: list[LimitResult]
    passed: bool


def make_row(
    measurement: measurements.Measurement,
    limits: list[Limit],
    *,
    scenario: str,
    deployment: str,
    policy: str,
    load: float,
    job_mean: float,
    seed: int,
    delays: bool = False,
) -> Row:
    """Return the row of a measurement."""
    ratios = measurement.ratios()
    bound = measurement.bound()
    checked = [limit_result(limit) for limit in limits]
    return Row(
        scenario=scenario,
        deployment=deployment,
        policy=policy,
        load=load,
        job_mean=job_mean,
        delays=delays,
        p50_ratio=ratios.p50,
        p99_ratio=ratios.p99,
        mean_ratio=ratios.mean,
        p50_bound=bound.p50,
        p99_bound=bound.p99,
        quantiles=ratios.quantiles,
        bound_quantiles=bound.quantiles,
        wasted_share=measurement.verdict.wasted_share,
        goodput_share=measurement.goodput_share(),
        refused_share=measurement.refused_share(),
        wrong_answers=len(measurement.verdict.faults),
        jobs=len(measurement.jobs),
        jobs_by_code=measurement.jobs_by_code(),
        lateness_ms=measurement.lateness_ms(),
        node_cpu_share=measurement.load_on_nodes.cpu_share,
        node_memory_mb=measurement.load_on_nodes.memory_mb,
        node_peer_bytes=measurement.load_on_nodes.peer_bytes,
        seed=seed,
        seconds=measurement.seconds,
        faults=measurement.verdict.faults[:MAX_FAULTS_SHOWN],
        limits=checked,
        passed=all(result.passed for result in checked),
    )


def write(path: pathlib.Path, rows: list[Row]) -> None:
    """Write the rows as a JSON list."""
    path.parent.mkdir(parents=True, exist_ok=True)
    content = msgspec.json.format(msgspec.json.encode(rows), indent=1)
    path.write_bytes(content + b"\n")


def read(path: pathlib.Path) -> list[Row]:
    """Read rows that :func:`write` wrote."""
    return msgspec.json.decode(path.read_bytes(), type=list[Row])


def table(rows: list[Row]) -> str:
    """Return the rows as a text table, followed by the missed limits and the faults."""
    header = (
        f"{'scenario':<18} {'deployment':<9} {'policy':<13} {'load':>5} {'mean':>4} {'p50':>7} "
        f"{'bound':>7} {'p99':>7} {'bound':>7} {'wasted':>8} {'goodput':>7} {'refused':>7} "
        f"{'wrong':>5} {'late ms':>7} {'cpu':>5} {'peer KB/s':>9}"
    )
    missed_limits = [line for row in rows for line in missed_lines(row)]
    return "\n".join([header, *map(_format_row, rows), *missed_limits])


def _format_row(row: Row) -> str:
    return (
        f"{row.scenario:<18} {row.deployment:<9} {row.policy:<13} {row.load:>5.2f} "
        f"{row.job_mean:>4.0f} {row.p50_ratio:>7.3f} {row.p50_bound:>7.3f} {row.p99_ratio:>7.3f} "
        f"{row.p99_bound:>7.3f} {row.wasted_share:>8.4%} {row.goodput_share:>7.3f} "
        f"{row.refused_share:>7.3f} {row.wrong_answers:>5} {row.lateness_ms:>7.1f} "
        f"{row.node_cpu_share:>5.2f} {row.node_peer_bytes / 1024:>9.1f}"
    )


def missed_lines(row: Row) -> list[str]:
    """Return a line for each missed limit and each listed fault of a row."""
    title = f"{row.scenario} {row.deployment} {row.policy} {row.load:.2f} {row.job_mean:.0f}"
    lines = [_missed_line(title, result) for result in row.limits if not result.passed]
    return lines + [f"FAULT {title}: {fault}" for fault in row.faults]


def _missed_line(title: str, result: LimitResult) -> str:
    relation = "under" if result.at_least else "over"
    return f"MISSED {title}: {result.name} {result.measured:.4f} {relation} {result.limit:.4f}"


def limit_result(limit: Limit) -> LimitResult:
    """Return the form of a limit that is written to the report."""
    return LimitResult(
        name=limit.name,
        measured=limit.measured,
        limit=limit.limit,
        at_least=limit.at_least,
        passed=limit.passed,
    )
