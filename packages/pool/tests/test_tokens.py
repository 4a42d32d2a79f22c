import datetime
import random

from chiveridge_pool import timings, tokens

START = datetime.datetime(2026, 1, 1, tzinfo=datetime.UTC)
MS = datetime.timedelta(milliseconds=1)


def claim_delay_after_rejection(
    source: tokens.TokenSource, now: datetime.datetime
) -> datetime.timedelta:
    """Reject a token; return the delay until the next claim."""
    token = source.next("t1", now)
    source.record_rejection("t1", token, now)
    delay = 0
    while not source.may_claim("t1", now + delay * MS):
        delay += 1
    return delay * MS


def test_a_token_exceeds_rejected_ones_and_those_of_former_incarnations():
    source = tokens.TokenSource(random.Random(1))
    first = source.next("t1", START)
    source.record_rejection("t1", first, START)
    second = source.next("t1", START)
    assert second > first
    source.raise_floor("t1", second)
    assert source.next("t1", START) > second
    source.raise_floor("t1", first)
    assert source.next("t1", START) > second
    assert source.next("t1", START, above=10**18) == 10**18 + 1


def test_no_token_is_issued_twice_while_the_clock_is_behind_the_rejected_ones():
    """Guards against a claim that does not fence off what was sent under an earlier one."""
    source = tokens.TokenSource(random.Random(1))
    source.record_rejection("t1", source.next("t1", START), START)
    issued = [source.next("t1", START + number * MS) for number in range(5)]
    assert issued == sorted(set(issued))


def test_a_few_rejections_suffice_to_exceed_tokens_that_others_raised():
    source = tokens.TokenSource(random.Random(1))
    now, highest = START, tokens.TokenSource(random.Random(2)).next("t1", START + 3600_000 * MS)
    rejections = 0
    while source.next("t1", now) < highest:
        now += claim_delay_after_rejection(source, now)
        rejections += 1
    assert rejections < 10
    assert source.next("t1", now) < 2**53


def test_claim_delays_grow_until_a_claim_is_accepted():
    source = tokens.TokenSource(random.Random(1))
    delays = [
        claim_delay_after_rejection(source, START + number * 10_000 * MS) for number in range(6)
    ]
    assert delays == sorted(delays)
    assert delays[0] < delays[-1] == timings.MAX_CLAIM_BACKOFF
    source.record_acceptance("t1")
    assert claim_delay_after_rejection(source, START + 100_000 * MS) == delays[0]
