import asyncio

import pytest

from chiveridge_standins import virtual_loops


def test_virtual_time_passes_only_by_timers_and_in_their_order():
    async def main() -> list[tuple[str, float]]:
        loop = asyncio.get_running_loop()
        wakes = []

        async def sleep(name: str, seconds: float) -> None:
            await asyncio.sleep(seconds)
            wakes.append((name, loop.time()))

        await asyncio.gather(sleep("late", 3600), sleep("early", 0.5))
        return wakes

    assert virtual_loops.run(main()) == [("early", 0.5), ("late", 3600.0)]


def test_a_wait_that_nothing_can_end_raises():
    async def main() -> None:
        await asyncio.Event().wait()

    with pytest.raises(virtual_loops.DeadlockError):
        virtual_loops.run(main())
