"""Intervals and timeouts of the pool, with the reason for each value."""

import datetime


def _ms(milliseconds: float) -> datetime.timedelta:
    return datetime.timedelta(milliseconds=milliseconds)


TICK_INTERVAL = _ms(20)
"""Time between ticks; a fifth of the interval of heartbeats, the most frequent message."""

IDLE_TICK_INTERVAL = _ms(100)
"""Time between ticks while a node has no work in progress."""

ROUND_INTERVAL = _ms(100)
"""Time between rounds of heartbeats; each member gets one in some of them."""

ROUNDS_PER_RELATED_HEARTBEAT = 2
"""Two heartbeats may be lost before a related node counts as dead."""

ROUNDS_PER_HEARTBEAT = 4
"""The same for other members of the own failure domain, and for members with news for them."""

ROUNDS_PER_REMOTE_HEARTBEAT = 6
"""The same for members of other failure domains."""

DEAD_AFTER = _ms(650)
"""Silence after which a node with which runs are shared counts as dead.

Its runs must end before its callers resubmit their jobs, 1.3 s later.
"""

WATCHED_DEAD_AFTER = _ms(1300)
"""Silence after which another watched node of the own domain counts as dead."""

REMOTE_DEAD_AFTER = _ms(2000)
"""Silence after which a watched node of another domain counts as dead; three heartbeats."""

RECONNECT_INTERVAL = _ms(1500)
"""Time between attempts to replace a connection over which a peer hears nothing."""

LISTS_SEND_INTERVAL = _ms(500)
"""Minimum time between sends of the lists of targets and nodes to a peer that needs them."""

MAX_REMOTE_OWNERS = 6
"""Owners of other failure domains that are asked for the capacity of one step at a time."""

FIRST_HEARTBEAT_TIMEOUT = _ms(350)
"""How long an owner waits for the first heartbeat of a node whose runs were handed over to it.

Added to ``DEAD_AFTER`` of the previous owner, it stays below the 1.3 s after which callers resubmit
their jobs.
"""

OWNER_LOST_AFTER = _ms(1300)
"""Silence of an owner after which its leases of 1 s, with 2% drift, have certainly expired."""

LEASE = _ms(1000)
"""Maximum lease that a target grants."""

LEASE_DRIFT_FACTOR = 1.02
"""A target's monotonic clock may run 2% slow."""

LEASE_MARGIN = _ms(50)
"""Time that a target needs to end runs whose lease has expired."""

LEASE_EXPIRED_AFTER = LEASE * LEASE_DRIFT_FACTOR + LEASE_MARGIN
"""Time after the last lease renewal by which all runs on a target have certainly ended."""

HOLD_WAIT = _ms(200)
"""How long a target may hold a poll open until a run ends; four renewals fit in one lease."""

IDLE_HOLD_WAIT = _ms(2000)
"""The same for a target on which nothing runs, whose lease needs no renewal."""

IDLE_AFTER = _ms(600)
"""Time without a run after which a target counts as idle."""

RENEW_AFTER_START = _ms(100)
"""Time after a start by which a hold renews the lease if the last one was sent while idle."""

HOLD_WAIT_DURING_LOSS = _ms(60)
"""The same while replies are being lost, as ends stay unseen until a lost hold times out."""

REPLY_LOSS_WINDOW = _ms(3000)
"""How long replies count as being lost after the last timeout; about one period of loss."""

HOLD_TIMEOUT = _ms(60)
"""Timeout of a hold in addition to its wait; thirty round trips between failure domains."""

ORDER_TIMEOUT = _ms(60)
"""Timeout of a start or a stop; thirty round trips between failure domains."""

REPLY_OVERDUE_AFTER = _ms(20)
"""Time without the reply to a start, or to a hold beyond its wait, after which no start is sent.

Ten round trips between failure domains. The target may be restarting.
"""

SHORTEST_RESTART = _ms(100)
"""Time since its last reply within which a target is taken not to have restarted.

A restart takes longer. A target that has been silent for this time is asked before a start.
"""

LATE_ORDER_TIME = _ms(12_000)
"""Longest time after which a request without a reply may still be executed, by the platform."""

MAX_FAILED_HOLDS = 1
"""Number of consecutive failed holds up to which a target is still given new runs."""

MIN_TIME_BETWEEN_HANDOVERS = _ms(1000)
"""How long a node that does not drain keeps a target that was handed to it.

Nodes that read the list of targets at different times may each believe that the other is the owner.
"""

CLAIM_RETRY_INTERVAL = _ms(500)
"""Time between attempts to claim an unreachable target."""

MAX_CLAIM_BACKOFF = _ms(3000)
"""Longest pause before a target that rejected a token is claimed again; the platform's lease."""

STARTUP_PEER_WAIT = _ms(250)
"""How long a starting node waits for silent peers before it claims targets.

Live peers reply at once.
"""

STARTUP_NODE_LIST_WAIT = _ms(1500)
"""How long a starting node waits for the list of nodes before it claims targets."""

FIRST_CLAIM_TIME = _ms(100)
"""Time allowed from the claim of the first targets to their replies; five ticks."""

GRANT_RESERVATION_TIMEOUT = _ms(300)
"""How long a grant stays reserved without a start; 100 round trips between failure domains."""

HANDOVER_REMEMBERED = _ms(60_000)
"""How long an owner refers requests on handed-over runs to the new owner; longer than most runs."""

START_RETRY_TIMEOUT = _ms(600)
"""How long a start is retried before it is abandoned and stopped."""

REQUEST_ALL_AFTER = _ms(40)
"""Wait for the answers of the selected owners before all are asked; one of them may be dead."""

UNANSWERED_NOTICE_INTERVAL = _ms(500)
"""Time between messages that tell a job's node of an unanswered start; one of them may be lost."""

STOP_INTERVAL = _ms(80)
"""Time between repeated stops of a run until its end is known."""

CONFIGURATION_SEND_INTERVAL = _ms(500)
"""Minimum time between sends of the configuration to a peer; a quarter of the users' limit."""

MEMBER_REMOVED_AFTER = _ms(20_000)
"""Silence after which a node no longer counts for majorities.

Longer than any network partition in the specified workload.
"""

JOB_ADVERTISED_AFTER = _ms(500)
"""Age from which a job is advertised to peers; callers resubmit 1.3 s after losing it."""

FOLLOW_INTERVAL = _ms(300)
"""Time between follow messages to the leader of a followed job; three heartbeats."""
