import datetime

from chiveridge_client import pools

NOW = datetime.datetime(2026, 1, 1, tzinfo=datetime.UTC)
SECOND = datetime.timedelta(seconds=1)


def test_drops_ids_that_would_expire_before_the_deadline():
    pool = pools.IdPool()
    lives = {"short": 34.9 * SECOND, "long": 35 * SECOND, "other": 90 * SECOND}
    pool.add([pools.HeldId(name, NOW + life, name) for name, life in lives.items()])
    pool.drop_url("other")
    assert pool.take(NOW, 30 * SECOND).submission_id == "long"
    assert pool.take(NOW, 30 * SECOND) is None
    assert len(pool) == 0
