import datetime

from chiveridge_client import id_pools

NOW = datetime.datetime(2026, 1, 1, tzinfo=datetime.UTC)
SECOND = datetime.timedelta(seconds=1)


def test_drops_ids_that_would_expire_before_the_deadline_and_its_margin():
    pool = id_pools.IdPool()
    lifetimes = {"short": 34.9 * SECOND, "long": 35 * SECOND, "other": 90 * SECOND}
    pool.add(
        [id_pools.IssuedId(name, NOW + lifetime, name) for name, lifetime in lifetimes.items()]
    )
    pool.drop_issued_by("other")
    assert pool.pop(NOW, 30 * SECOND).submission_id == "long"
    assert pool.pop(NOW, 30 * SECOND) is None
    assert len(pool) == 0
