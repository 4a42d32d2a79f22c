import datetime
import random

from chiveridge_client import backoffs


def test_delays_grow_up_to_the_bound_and_respect_retry_after():
    rng = random.Random(7)
    for attempt in (0, 3, 10, 5000):
        bound = min(backoffs.BASE_DELAY * 2 ** min(attempt, 20), backoffs.MAX_DELAY)
        assert bound / 2 <= backoffs.delay(attempt, rng) <= bound
    hour = datetime.timedelta(hours=1)
    assert backoffs.delay_with_retry_after(hour, 0, rng) == hour
