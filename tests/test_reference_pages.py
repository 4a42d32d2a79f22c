"""The tables of the reference pages match the code."""

import pathlib
import re

import msgspec
import prometheus_client.parser
import pytest

from chiveridge_kernel import messages, results
from chiveridge_node import caller_resources, log_events, mains, nodes, settings
from chiveridge_pool import end_proofs, notes

DOCS = pathlib.Path(__file__).parent.parent / "docs"
SETTINGS_SECTION_HEADING = "### [{}]"


def table_rows(page, after=""):
    """Return the cells of each row of the first table after a text, without the header rows."""
    text = DOCS.joinpath(page).read_text().partition(after)[2] if after else ""
    text = text or DOCS.joinpath(page).read_text()
    table = re.search(r"(?:^\|.*\n)+", text, re.MULTILINE).group()
    cells = [[cell.strip() for cell in line.split("|")[1:-1]] for line in table.splitlines()]
    return cells[2:]


def test_every_result_code_has_a_row():
    found = [(int(row[0]), row[1]) for row in table_rows("result-codes.md")]
    assert found == [(int(code), code.name) for code in results.ResultCode]


@pytest.mark.parametrize("row", table_rows("result-codes.md"), ids=lambda row: row[1])
def test_a_result_code_has_the_documented_http_status(row):
    code = results.ResultCode(int(row[0]))
    is_answer = row[3] == "per task"
    assert int(row[4]) == caller_resources.http_status(code, refused=not is_answer)


def test_every_log_event_has_a_row():
    found = [(int(row[0]), row[1]) for row in table_rows("events.md")]
    events = [*log_events.LogEvent, *notes.NoteEvent]
    assert found == sorted((int(event), event.name) for event in events)


def test_every_proof_of_an_end_has_a_row():
    rows = table_rows("events.md", "## Proofs of an end")
    assert [row[0] for row in rows] == [proof.value for proof in end_proofs.EndProof]
    unproven = {row[0] for row in rows if row[2] == "without proof"}
    assert unproven == {
        proof.value for proof in end_proofs.EndProof if not end_proofs.is_proven(proof)
    }
    covering = {row[0] for row in rows if row[2] != "no"}
    assert covering == {
        proof.value for proof in end_proofs.EndProof if end_proofs.may_end(proof, may_run=True)
    }


@pytest.mark.parametrize(
    "section", msgspec.structs.fields(settings.Settings), ids=lambda field: field.name
)
def test_every_setting_has_a_row(section):
    found = {
        row[0]: row[2]
        for row in table_rows("operating.md", SETTINGS_SECTION_HEADING.format(section.name))
    }
    expected = {
        field.name: "required" if field.required else str(field.default)
        for field in msgspec.structs.fields(section.type)
    }
    assert found == expected


def test_every_metric_has_a_row():
    for plugin in mains.BUILT_IN_PLUGINS:
        plugin.register()
    platform = {"log_url": "http://127.0.0.1:1", "vms_url": "http://127.0.0.1:1"}
    node_settings = settings.parse({"node": {"name": "a", "domain": "b"}, "platform": platform})
    text = nodes.Node(node_settings).metrics.render().decode()
    families = prometheus_client.parser.text_string_to_metric_families(text)
    names = {family.name for family in families if family.name.startswith("chiveridge_")}
    assert {row[0] for row in table_rows("operating.md", "## Metrics")} == names


def test_the_glossary_starts_with_the_fixed_terms_and_sorts_the_rest():
    terms = [row[0] for row in table_rows("glossary.md")]
    assert terms[:4] == ["VM", "failure domain", "team", "target"]
    assert terms[4:] == sorted(terms[4:])


@pytest.mark.parametrize(
    ("header", "message"),
    [("| field | value", messages.Submission), ("| field of a task", messages.TaskSpec)],
)
def test_every_field_of_a_submission_has_a_row(header, message):
    text = DOCS.joinpath("api.md").read_text()
    table = text[text.index(header) :].partition("\n\n")[0].splitlines()[2:]
    names = [line.split("|")[1].strip() for line in table]
    assert sorted(names) == sorted(field.name for field in msgspec.structs.fields(message))
