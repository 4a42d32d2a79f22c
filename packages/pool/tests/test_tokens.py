import datetime
import random

from chiveridge_pool import timings, tokens

START = datetime.datetime(2026, 1, 1, tzinfo=datetime.UTC)
MS = datetime.timedelta(milliseconds=1)


def refused_at(source: tokens.TokenSource, now: datetime.datetime) -> datetime.timedelta:
    """Reject a token; return the delay until the next claim."""
    token = source.next("t1", now)
    source.record_rejection("t1", token, now)
    pause = 0
    while not source.may_claim("t1", now + pause * MS):
        pause += 1
    return pause * MS


def test_a_token_exceeds_those_that_were_refused_and_those_of_former_lives():
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


def test_a_few_refusals_suffice_to_exceed_what_others_raised_over_time():
    source = tokens.TokenSource(random.Random(1))
    now, highest = START, tokens.TokenSource(random.Random(2)).next("t1", START + 3600_000 * MS)
    refusals = 0
    while source.next("t1", now) < highest:
        now += refused_at(source, now)
        refusals += 1
    assert refusals < 10
    assert source.next("t1", now) < 2**53


def test_pauses_after_refusals_grow_until_a_claim_is_accepted():
    source = tokens.TokenSource(random.Random(1))
    pauses = [refused_at(source, START + number * 10_000 * MS) for number in range(6)]
    assert pauses == sorted(pauses)
    assert pauses[0] < pauses[-1] == timings.CLAIM_DEFERENCE
    source.record_acceptance("t1")
    assert refused_at(source, START + 100_000 * MS) == pauses[0]
