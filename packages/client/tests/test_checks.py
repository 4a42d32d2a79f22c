"""Checks of a configuration before it is published."""

import pytest

from chiveridge_client import changes, checks
from chiveridge_kernel import configurations

DIGEST = "ab" * 32
SOUND = f"""
[team ikeja]
labels = area=lagos
key_digests = {DIGEST}
[target dryer-1]
labels = kind=dryer
owner = ada
approved_teams = ikeja
[rule dryers]
teams = area=lagos
targets = kind=dryer
"""


def _check(text):
    return checks.check(changes.parse(text), configurations.Configuration())


def test_nothing_is_found_in_a_sound_file():
    assert _check(SOUND) == []


@pytest.mark.parametrize(
    ("text", "kind", "name", "message"),
    [
        (SOUND.replace("area=lagos\nt", "area=osaka\nt"), "never matches", "dryers", "no team"),
        (SOUND.replace("s = kind=dryer\n", "s = kind=washer\n", 1), "never matches", "dryers", ""),
        (SOUND.replace("approved_teams = ikeja", ""), "no effect", "dryers", "none of its targets"),
        (SOUND.replace("teams = ikeja", "teams = ikeja, lekki"), "no effect", "dryer-1", "lekki"),
        (SOUND + "[team lekki]\nkey_digests =\n", None, None, None),
        (SOUND + "[rule z]\nteams = area=lagos\ntargets = kind=dryer\n", "no effect", "z", "same"),
        (SOUND.replace(f"key_digests = {DIGEST}", ""), "contradiction", "ikeja", "no key"),
        (SOUND.replace("[target", "max_starts = 0\n[target"), "contradiction", "ikeja", "is 0"),
    ],
)
def test_entries_that_make_no_sense_are_found(text, kind, name, message):
    findings = _check(text)
    if kind is None:
        assert findings == []
        return
    assert (kind, name) in {(item.finding.value, item.name) for item in findings}
    assert any(message in item.message for item in findings)


def test_an_approval_that_no_rule_uses_is_found():
    findings = _check(SOUND.replace("teams = area=lagos", "teams = area=osaka"))
    assert "no rule leads to it" in " ".join(item.message for item in findings)
