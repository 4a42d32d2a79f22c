"""pytest plug-in: checks ``promise`` markers and writes a matrix of promises and failures."""

import pathlib

import pytest

PROMISES = (
    "at_most_once",
    "complete_or_failed",
    "own_whole_answer",
    "honest_refusal",
    "non_idempotent_once",
    "leaving_target",
    "graceful_shutdown",
    "configuration_in_force",
)
FAILURES = (
    "kill",
    "freeze",
    "cut",
    "silent_connection",
    "target_death",
    "platform_outage",
    "lost_reply",
    "operators_race",
    "paused_lease_holder",
    "replaced_vm",
    "two_at_once",
)
NOT_PROVED = "not proved"
_HEADER = """# Proof

The promises of chiveridge by the failures under which a test proves them. `make proof` writes
this page from the tests' `promise` markers, and a test fails when it is out of date.
"""


def pytest_addoption(parser: pytest.Parser) -> None:
    """Add the option that writes the page."""
    parser.addoption("--proof-page", help="write the matrix of proofs to this file")


def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    """Check the markers, and write the page if ``--proof-page`` is given."""
    claims = [claim for item in items for claim in _collect_claims(item)]
    path = config.getoption("--proof-page")
    if path:
        pathlib.Path(path).write_text(render_page(claims), encoding="utf-8")


def render_page(claims: list[tuple[str, str, str]]) -> str:
    """Return the page for claims of test id, promise and failure (empty if none is named)."""
    test_ids_by_cell: dict[tuple[str, str], set[str]] = {}
    for test_id, promise, failure in claims:
        test_ids_by_cell.setdefault((promise, failure), set()).add(test_id)
    rows = [_render_row(promise, test_ids_by_cell) for promise in PROMISES]
    header = ["promise", *(failure.replace("_", " ") for failure in FAILURES)]
    table = [_render_table_line(header), _render_table_line(["---"] * len(header)), *rows]
    sections = [_render_section(promise, claims) for promise in PROMISES]
    return "\n".join([_HEADER, *table, "", *sections])


def _collect_claims(item: pytest.Item) -> list[tuple[str, str, str]]:
    test_id = item.nodeid.partition("[")[0]
    claims = []
    for marker in item.iter_markers("promise"):
        promise, failures = _parse_marker(marker, test_id)
        claims += [(test_id, promise, failure) for failure in failures or [""]]
    return claims


def _parse_marker(marker: pytest.Mark, test_id: str) -> tuple[str, list[str]]:
    failures = marker.kwargs.get("failures", [])
    if len(marker.args) != 1 or marker.kwargs.keys() - {"failures"}:
        raise pytest.UsageError(
            f"{test_id}: the promise marker takes one promise name and failures=[...]"
        )
    unknown = [name for name in marker.args if name not in PROMISES]
    unknown += [name for name in failures if name not in FAILURES]
    if unknown:
        raise pytest.UsageError(f"{test_id}: unknown promise or failure: {', '.join(unknown)}")
    return marker.args[0], failures


def _render_row(promise: str, test_ids_by_cell: dict[tuple[str, str], set[str]]) -> str:
    cells = [test_ids_by_cell.get((promise, failure), set()) for failure in FAILURES]
    names = [sorted(test_id.rpartition("::")[2] for test_id in test_ids) for test_ids in cells]
    return _render_table_line([promise, *("<br>".join(cell) or NOT_PROVED for cell in names)])


def _render_section(promise: str, claims: list[tuple[str, str, str]]) -> str:
    tests = sorted({test_id for test_id, claimed, _ in claims if claimed == promise})
    lines = [f"- `{test_id}`" for test_id in tests] or [f"- {NOT_PROVED}"]
    return "\n".join([f"## {promise}", "", *lines, ""])


def _render_table_line(cells: list[str]) -> str:
    return f"| {' | '.join(cells)} |"
