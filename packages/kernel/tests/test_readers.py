"""Readers of other processes' data fail by one exception type, and one record at a time."""

import contextlib

import hypothesis
import msgspec
import pytest
from hypothesis import strategies

from chiveridge_kernel import readers

FIXED = hypothesis.settings(derandomize=True, deadline=None, max_examples=200)
_read = readers.Reader(msgspec.json.Decoder(dict[str, int]).decode)


@pytest.mark.parametrize(
    "data",
    [
        b"",
        b"\xff",
        b'{"a":',
        b'{"a":"b"}',
        b"[" * 4000,
        b"[" * 4000 + b"]" * 4000,
        b'{"a":' * 4000,
        b'{"a":' + b"9" * 6000 + b"}",
    ],
)
def test_data_that_cannot_be_decoded_is_a_read_error(data):
    """Nested data raises RecursionError, which no decoder documents."""
    with pytest.raises(readers.ReadError):
        _read(data)


@FIXED
@hypothesis.given(strategies.binary(max_size=200))
def test_a_reader_raises_nothing_but_its_own_error(data):
    with contextlib.suppress(readers.ReadError):
        assert isinstance(_read(data), dict)


def test_the_reason_is_one_short_line():
    with pytest.raises(readers.ReadError) as caught:
        _read(b'{"' + b"a" * 5000 + b'":"b"}')
    assert 0 < len(str(caught.value)) <= 200


def test_a_check_that_raises_makes_the_data_unusable():
    def check(value):
        raise ZeroDivisionError("by the value")

    reader = readers.Reader(msgspec.json.decode, check)
    with pytest.raises(readers.ReadError, match="ZeroDivisionError: by the value"):
        reader(b"1")


@FIXED
@hypothesis.given(strategies.dictionaries(strategies.text(max_size=5), strategies.binary()))
def test_each_record_is_read_or_skipped_by_itself(data_by_key):
    skipped = []
    data_by_key["good"] = b'{"a":1}'
    read = list(
        readers.read_each(
            data_by_key, lambda key, data: (key, _read(data)), lambda key, _: skipped.append(key)
        )
    )
    assert ("good", {"a": 1}) in read
    assert sorted([key for key, _ in read] + skipped) == sorted(data_by_key)
