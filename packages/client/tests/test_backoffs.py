import datetime
import random

from chiveridge_client import backoffs


def test_delays_grow_stay_bounded_and_respect_the_server():
    rng = random.Random(7)
    for attempt in (0, 3, 10, 5000):
        bound = min(backoffs.BASE * 2 ** min(attempt, 20), backoffs.CAP)
        assert bound / 2 <= backoffs.delay(attempt, rng) <= bound
    hour = datetime.timedelta(hours=1)
    assert backoffs.delay_after(hour, 0, rng) == hour
