"""Use of the submission ids of this incarnation, in one byte per id until they expire.

Ids have consecutive serial numbers from 1, so a serial gives the block and offset of its state.
"""

import collections

import msgspec

from chiveridge_kernel import results

BLOCK_SIZE = 4096
_UNUSED = 0
_ADMITTED = 1
_FIRST_REFUSAL = 2
_REFUSAL_CODES = tuple(results.ResultCode)
_STATES_BY_CODE = {code: _FIRST_REFUSAL + index for index, code in enumerate(_REFUSAL_CODES)}
_ADMITTED_BITS = bytes(ord("1") if state == _ADMITTED else ord("0") for state in range(256))


class _Block(msgspec.Struct):
    """States of consecutive serials, and the latest expiry of their ids."""

    states: bytearray
    expires_at_ms: int


class SubmissionLedger:
    """State of each issued id: unused, admitted, or refused with a code."""

    def __init__(self):
        self._blocks_by_index: collections.OrderedDict[int, _Block] = collections.OrderedDict()

    def note_issued(self, serials: range, expires_at_ms: int) -> None:
        """Allocate the states of newly issued serials."""
        for index in range(serials.start // BLOCK_SIZE, (serials.stop - 1) // BLOCK_SIZE + 1):
            block = self._blocks_by_index.get(index)
            if block is None:
                self._blocks_by_index[index] = _Block(bytearray(BLOCK_SIZE), expires_at_ms)
            else:
                block.expires_at_ms = max(block.expires_at_ms, expires_at_ms)

    def admit(self, serial: int) -> None:
        """Record that the job of an id was admitted and may have run."""
        self._set_state(serial, _ADMITTED)

    def refuse(self, serial: int, code: results.ResultCode) -> None:
        """Record the final refusal of an id, under which no task was started."""
        self._set_state(serial, _STATES_BY_CODE[code])

    def is_admitted(self, serial: int) -> bool:
        """Return whether the job of an unexpired id was admitted."""
        return self._state(serial) == _ADMITTED

    def refusal(self, serial: int) -> results.ResultCode | None:
        """Return the code with which an unexpired id was refused, or None."""
        state = self._state(serial)
        return _REFUSAL_CODES[state - _FIRST_REFUSAL] if state >= _FIRST_REFUSAL else None

    def drop_expired(self, now_ms: int) -> None:
        """Drop the blocks whose ids have all expired."""
        while self._blocks_by_index:
            index, block = next(iter(self._blocks_by_index.items()))
            if block.expires_at_ms > now_ms:
                return
            del self._blocks_by_index[index]

    def admitted_bitmaps(self) -> dict[int, bytes]:
        """Return bitmaps of the admitted ids by block index; see :func:`is_set_in_bitmaps`."""
        return {
            index: int(block.states.translate(_ADMITTED_BITS), 2).to_bytes(BLOCK_SIZE // 8, "big")
            for index, block in self._blocks_by_index.items()
        }

    def size_bytes(self) -> int:
        """Return the size of the states in bytes."""
        return len(self._blocks_by_index) * BLOCK_SIZE

    def _state(self, serial: int) -> int:
        block = self._blocks_by_index.get(serial // BLOCK_SIZE)
        return _UNUSED if block is None else block.states[serial % BLOCK_SIZE]

    def _set_state(self, serial: int, state: int) -> None:
        self._blocks_by_index[serial // BLOCK_SIZE].states[serial % BLOCK_SIZE] = state


def is_set_in_bitmaps(bitmaps_by_block: dict[int, bytes], serial: int) -> bool:
    """Return whether a serial is set in bitmaps of admitted ids, by block index."""
    marks = bitmaps_by_block.get(serial // BLOCK_SIZE)
    byte, bit = divmod(serial % BLOCK_SIZE, 8)
    return marks is not None and bool(marks[byte] & (0x80 >> bit))
