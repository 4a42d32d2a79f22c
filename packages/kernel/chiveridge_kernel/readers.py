"""Readers of data that another process has written, which fail by one exception type only."""

from collections.abc import Callable, Iterator, Mapping
from typing import Generic, TypeVar

Value = TypeVar("Value")

_MAX_REASON_CHARACTERS = 200


class ReadError(Exception):
    """Data that another process has written cannot be used; the message says why."""


class Reader(Generic[Value]):
    """Decodes and checks data of another process.

    ``check`` is called with the decoded value, and raises an exception if it is not usable.
    """

    def __init__(
        self,
        decode: Callable[[bytes], Value],
        check: Callable[[Value], None] | None = None,
    ):
        self._decode = decode
        self._check = check

    def __call__(self, data: bytes) -> Value:
        """Return the decoded value.

        :raises ReadError: whatever the decoder or the check raises; decoders have more kinds of
            exceptions than they document, such as RecursionError for nested data.
        """
        try:
            value = self._decode(data)
            if self._check is not None:
                self._check(value)
        except Exception as error:
            raise ReadError(describe(error)) from error
        return value


def read_each(
    data_by_key: Mapping[str, bytes],
    convert: Callable[[str, bytes], Value | None],
    on_skipped: Callable[[str, str], None],
) -> Iterator[Value]:
    """Convert each record by itself, so that one at fault leaves the others usable.

    ``convert`` returns None for a record that is valid but of no use here. ``on_skipped`` is called
    with the key of each record that is skipped, and the reason.
    """
    for key, data in data_by_key.items():
        try:
            value = convert(key, data)
        except Exception as error:
            on_skipped(key, describe(error))
            continue
        if value is not None:
            yield value


def describe(error: Exception) -> str:
    """Return the kind and the message of an exception in one short line."""
    text = str(error) if isinstance(error, ReadError) else f"{type(error).__name__}: {error}"
    return text[:_MAX_REASON_CHARACTERS]
