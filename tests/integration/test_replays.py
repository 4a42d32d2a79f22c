"""Recorded traces of kernel events, replayed against their stated outcomes."""

import pathlib

import pytest
import replays

TRACES = sorted(pathlib.Path(__file__).parent.parent.joinpath("traces").glob("*.jsonl"))


@pytest.mark.parametrize("path", TRACES, ids=lambda path: path.stem)
def test_a_recorded_trace_has_its_stated_outcome(path):
    replay = replays.Replay()
    expected = replay.run(path)
    assert replay.outcome == expected


def test_there_are_traces():
    assert TRACES
