"""Intervals and timeouts of the pool, with where each comes from."""

import datetime


def _ms(milliseconds: float) -> datetime.timedelta:
    return datetime.timedelta(milliseconds=milliseconds)


TICK_INTERVAL = _ms(20)
"""Time between ticks: a fifth of the interval of heartbeats, which are the most frequent."""

HEARTBEAT_INTERVAL = _ms(100)
"""A sixth of the silence after which a node is dead: five lost heartbeats are borne."""

DEAD_AFTER = _ms(650)
"""Silence of a dead node. Its runs must end before its callers send again, 1.3 s later."""

FIRST_HEARD_WITHIN = _ms(350)
"""How long an owner waits for the first heartbeat of a node whose runs it was handed.

With ``DEAD_AFTER`` of the owner before, it is less than the 1.3 s after which callers send again.
"""

OWNER_LOST_AFTER = _ms(1300)
"""Silence of an owner after which its leases, of 1 s and 2% drift, have lapsed for certain."""

LEASE = _ms(1000)
"""Longest lease that a target grants."""

LEASE_DRIFT_FACTOR = 1.02
"""A target's steady clock may be 2% slow."""

LEASE_MARGIN = _ms(50)
"""Time for a target to end what has lapsed."""

LEASE_OVER_AFTER = LEASE * LEASE_DRIFT_FACTOR + LEASE_MARGIN
"""Time after the last renewal when everything on a target has ended for certain."""

HOLD_WAIT = _ms(200)
"""How long a target may wait for an end; four renewals fit in one lease."""

HOLD_WAIT_IN_LOSS = _ms(60)
"""The same while replies are being lost: ends are unseen until a lost hold has timed out."""

LOSS_MEMORY = _ms(3000)
"""How long replies count as being lost after the last timeout; about as long as such spells."""

HOLD_TIMEOUT = _ms(60)
"""Time for the reply to a hold beyond its wait; thirty round trips between domains."""

ORDER_TIMEOUT = _ms(60)
"""Time for the reply to a start or a stop; thirty round trips between domains."""

FAILURES_BORNE = 1
"""Holds without a reply after which a target still gets new runs."""

CLAIM_RETRY = _ms(500)
"""Pause between attempts to claim a target that cannot be reached."""

CLAIM_DEFERENCE = _ms(3000)
"""How long a node leaves a target alone whose fence refused it; the platform's lease time."""

SETTLING = _ms(250)
"""How long a node that starts waits for silent peers before it claims; live ones greet at once."""

SETTLING_UNLISTED = _ms(1500)
"""How long a node that starts waits for the list of nodes before it claims."""

FIRST_HOLD = _ms(100)
"""Time from the claim of the first targets to their replies; five ticks."""

GRANT_LIFE = _ms(300)
"""How long a grant stays reserved without a start; a hundred round trips between domains."""

START_PATIENCE = _ms(600)
"""How long a start is sent again before it is given up and stopped."""

REQUEST_ALL_AFTER = _ms(8)
"""Wait for the first grants before all owners are asked; four round trips between domains."""

STOP_INTERVAL = _ms(80)
"""Pause between stops of a run until its end is known."""

SHARE_INTERVAL = _ms(500)
"""Pause between two sendings of the configuration to one peer; a quarter of the users' bound."""

MEMBER_FORGOTTEN_AFTER = _ms(20_000)
"""Silence after which a node no longer counts in a majority; longer than any cut in the brief."""

JOB_ADVERTISED_AFTER = _ms(500)
"""Age from which peers are told of a job; callers send it again 1.3 s after it is lost."""

FOLLOW_INTERVAL = _ms(300)
"""Pause between questions to the node of a job that is followed; three heartbeats."""
