"""Ranges of the values that other processes send.

What is in range can be added up, converted to durations, sent to peers and written to the store.
"""

from typing import Annotated

import msgspec

MAX_COUNT = 2**53 - 1
"""Largest integer that every JSON reader holds exactly."""

MAX_AMOUNT = 10**12
"""Largest amount of one resource, in thousandths of a core or MB; a thousand times a data center's.
"""

MAX_MS = 1e12
"""Longest duration in milliseconds, over 30 years; dates go to the year 9999."""

MAX_FACTOR = 1000.0
MAX_NAME_CHARACTERS = 255

Count = Annotated[int, msgspec.Meta(ge=0, le=MAX_COUNT)]
Priority = Annotated[int, msgspec.Meta(ge=-MAX_COUNT, le=MAX_COUNT)]

Amount = Annotated[int, msgspec.Meta(ge=0, le=MAX_AMOUNT)]
SignedAmount = Annotated[int, msgspec.Meta(ge=-MAX_AMOUNT, le=MAX_AMOUNT)]
"""Free capacity, which is negative after a capacity has shrunk."""

Milliseconds = Annotated[float, msgspec.Meta(ge=0.0, le=MAX_MS)]
SignedMilliseconds = Annotated[float, msgspec.Meta(ge=-MAX_MS, le=MAX_MS)]
Factor = Annotated[float, msgspec.Meta(ge=0.0, le=MAX_FACTOR)]
Name = Annotated[str, msgspec.Meta(max_length=MAX_NAME_CHARACTERS)]
