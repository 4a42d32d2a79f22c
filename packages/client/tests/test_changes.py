import pytest

from chiveridge_client import changes, errors
from chiveridge_kernel import records

DIGEST = "0" * 64
CHANGE_FILE = f"""
[team ikeja]
labels = area=lagos, kind=members
key_digests = {DIGEST}
max_starts = 40

[target dryer-1]
owner = ada
approved_teams = ikeja, lekki

[rule dryers]
teams = area=lagos
targets = kind in (dryer)
"""


def test_parses_every_kind():
    team, target, rule = changes.parse(CHANGE_FILE)
    assert team.team == records.TeamObject(
        name="ikeja",
        labels={"area": "lagos", "kind": "members"},
        key_digests=[DIGEST],
        max_starts=40,
    )
    assert target.target.approved_teams == ["ikeja", "lekki"]
    assert (rule.kind, rule.rule.targets) == (records.ObjectKind.RULE, "kind in (dryer)")


def test_reports_every_error_with_section_and_key():
    text = "[team a]\nlabels = x\nmax_starts = -1\n[target b]\ncolour = red\n[rule c]\n"
    with pytest.raises(errors.InvalidInputError) as caught:
        changes.parse(text)
    error_locations = [problem.partition(":")[0] for problem in caught.value.problems]
    assert error_locations == ["[team a] labels", "[team a] max_starts", "[target b] colour"]


@pytest.mark.parametrize(
    ("text", "expected_message"),
    [
        ("", "no sections"),
        ("key = 1", "no section headers"),
        ("[DEFAULT]\nowner = x", "must be one of"),
        ("[team]", "must be one of"),
        ("[team a]\n[team  a]", "given 2 times"),
        ("[team a]\n[team a]", "already exists"),
        ("[team a]\nlabels = x=1, x=2", "given twice"),
        ("[team a]\nkey_digests = ABC", "SHA-256"),
        ("[team " + "a" * 201 + "]", "length"),
    ],
)
def test_reports_the_error(text, expected_message):
    with pytest.raises(errors.InvalidInputError, match=expected_message):
        changes.parse(text)
