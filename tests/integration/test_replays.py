"""Recorded traces of kernel events, replayed and compared with their expected outcomes."""

import pathlib

import pytest
import replays

TRACES = sorted(pathlib.Path(__file__).parent.parent.joinpath("traces").glob("*.jsonl"))


@pytest.mark.parametrize("path", TRACES, ids=lambda path: path.stem)
def test_a_replayed_trace_has_its_expected_outcome(path):
    replay = replays.Replay()
    expected = replay.run(path)
    assert replay.outcome == expected


def test_there_are_traces():
    assert TRACES
