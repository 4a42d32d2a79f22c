import datetime

from chiveridge_kernel import clocks, shares

LOUD = "loud"
QUIET = "quiet"


def at(seconds: float) -> datetime.datetime:
    return clocks.EPOCH + datetime.timedelta(seconds=seconds)


def shares_of_eight() -> shares.Shares:
    """Return the shares of two teams, to which nothing was lent yet."""
    team_shares = shares.Shares()
    team_shares.divide(16, (LOUD, QUIET), {})
    for team in (LOUD, QUIET):
        team_shares.advance(team, 0, at(0))
    return team_shares


def excess(team_shares: shares.Shares, team: str, held: int, seconds: float) -> float:
    return team_shares.rank(team, held, at(seconds))[0]


def test_slots_are_divided_among_teams_that_wait_or_hold():
    team_shares = shares.Shares()
    team_shares.divide(12, (LOUD,), {QUIET: 3, "absent": 0})
    assert excess(team_shares, LOUD, 8, 0) == 2
    assert excess(team_shares, QUIET, 6, 0) == 0


def test_a_team_that_left_some_of_its_share_may_go_over_it_for_a_while():
    team_shares = shares_of_eight()
    team_shares.advance(QUIET, 4, at(0.25))
    # Four slots left for 250 ms allow two more for 500 ms.
    assert excess(team_shares, QUIET, 10, 0.74) == 0
    assert excess(team_shares, QUIET, 10, 0.76) == 2
    assert excess(team_shares, LOUD, 12, 0.76) == 4


def test_of_teams_within_their_share_the_one_with_most_credit_goes_first():
    team_shares = shares_of_eight()
    team_shares.advance(QUIET, 4, at(0.25))
    team_shares.advance(LOUD, 7, at(0.25))
    now = at(0.25)
    assert team_shares.rank(QUIET, 10, now) < team_shares.rank(LOUD, 7, now)
    assert team_shares.rank("new", 0, now) < team_shares.rank("other", 9, now)


def test_teams_that_leave_much_of_their_share_are_equal():
    team_shares = shares_of_eight()
    for team, held in ((QUIET, 1), (LOUD, 4)):
        team_shares.advance(team, held, at(10))
    assert team_shares.rank(QUIET, 1, at(10)) == team_shares.rank(LOUD, 4, at(10))


def test_credit_is_limited_to_a_second_of_the_share():
    team_shares = shares_of_eight()
    team_shares.advance(QUIET, 4, at(100))
    assert excess(team_shares, QUIET, 16, 100.99) == 0
    assert excess(team_shares, QUIET, 16, 101.01) == 8


def test_a_new_team_has_no_credit():
    team_shares = shares_of_eight()
    team_shares.advance("new", 0, at(5))
    assert excess(team_shares, "new", 9, 5) == 1


def test_a_team_that_was_away_has_no_credit():
    team_shares = shares_of_eight()
    team_shares.advance(QUIET, 1, at(5))
    team_shares.advance(QUIET, 0, at(7))
    assert excess(team_shares, QUIET, 9, 7) == 1


def test_a_team_between_two_jobs_keeps_its_credit():
    team_shares = shares_of_eight()
    team_shares.advance(QUIET, 1, at(5))
    team_shares.advance(QUIET, 0, at(5.9))
    assert excess(team_shares, QUIET, 9, 5.9) == 0
