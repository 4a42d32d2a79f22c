import datetime

from chiveridge_pool import loop_lags, timings

START = datetime.datetime(2026, 1, 1, tzinfo=datetime.UTC)
MS = datetime.timedelta(milliseconds=1)


def test_punctual_ticks_add_no_allowance():
    loop_lag = loop_lags.LoopLag()
    for number in range(5):
        loop_lag.tick(START + number * timings.TICK_INTERVAL)
    assert loop_lag.timeout_allowance() == 0 * MS


def test_a_late_tick_raises_the_allowance_until_it_decays():
    loop_lag = loop_lags.LoopLag()
    loop_lag.tick(START)
    now = START + timings.TICK_INTERVAL + 30 * MS
    loop_lag.tick(now)
    assert loop_lag.timeout_allowance() >= 60 * MS
    for _ in range(60):
        now += timings.TICK_INTERVAL
        loop_lag.tick(now)
    assert loop_lag.timeout_allowance() < 1 * MS


def test_sustained_lag_marks_the_node_slow_until_it_recovers():
    loop_lag = loop_lags.LoopLag()
    now = START
    states = []
    for number in range(300):
        is_late = number < 30
        now += timings.TICK_INTERVAL + (60 * MS if is_late else 0 * MS)
        loop_lag.tick(now)
        states.append(loop_lag.is_slow)
    assert not states[2]
    assert states[29]
    assert states[60]
    assert not states[-1]
