import asyncio

from chiveridge_node import loop_pacers


async def _pass_turn(pacer, passed, number):
    await pacer.wait_for_turn()
    passed.append(number)


async def test_callers_pass_in_order_and_other_tasks_run_in_between():
    pacer = loop_pacers.Pacer(per_turn=4)
    passed = []
    callers = [asyncio.create_task(_pass_turn(pacer, passed, number)) for number in range(20)]
    counts = [0]
    while len(passed) < 20:
        await asyncio.sleep(0)
        counts.append(len(passed))
    await asyncio.gather(*callers)
    assert passed == list(range(20))
    assert max(later - earlier for earlier, later in zip(counts, counts[1:], strict=False)) <= 4


async def test_a_cancelled_caller_uses_no_place_in_a_turn():
    pacer = loop_pacers.Pacer(per_turn=1)
    passed = []
    callers = [asyncio.create_task(_pass_turn(pacer, passed, number)) for number in range(3)]
    await asyncio.sleep(0)
    callers[1].cancel()
    await asyncio.gather(*callers, return_exceptions=True)
    assert passed == [0, 2]
