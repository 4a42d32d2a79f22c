"""What one owner tells the next of a target, and what the next makes of it."""

import datetime

from chiveridge_kernel import clocks
from chiveridge_pool import grants, holdings, identifiers, messages, runs, targets


def handover_of(holding: holdings.Holding, owner: identifiers.NodeId) -> messages.Handover:
    """Return the message that hands a target over with all that runs there."""
    rows = tuple(
        messages.HandedRun(
            grant.id,
            grant.node,
            grant.job,
            grant.queue,
            grant.task,
            grant.run,
            grant.size,
            clocks.to_ms(grant.estimate),
            grant.step,
        )
        for grant in holding.sent_grants()
    )
    return messages.Handover(
        sender=owner,
        target=holding.target,
        token=holding.token,
        acknowledged=holding.acknowledged,
        born=holding.born,
        runs=rows,
    )


def grants_by_node(
    holding: holdings.Holding,
) -> dict[identifiers.NodeId, tuple[identifiers.GrantId, ...]]:
    """Return the grants of a target that change their owner, by the node that must know."""
    by_node: dict[identifiers.NodeId, tuple[identifiers.GrantId, ...]] = {}
    for grant in holding.sent_grants():
        by_node[grant.node] = (*by_node.get(grant.node, ()), grant.id)
    return by_node


def holding_of(
    message: messages.Handover,
    target: targets.Target,
    token: identifiers.FencingToken,
    now: datetime.datetime,
) -> holdings.Holding:
    """Return a target that was handed over, under a token of its new owner."""
    holding = holdings.Holding(target, token, now)
    holding.acknowledged = message.acknowledged
    holding.born = message.born
    for row in message.runs:
        holding.add(_grant_of(row, now))
    return holding


def _grant_of(row: messages.HandedRun, now: datetime.datetime) -> grants.Grant:
    estimate = datetime.timedelta(milliseconds=row.estimate_ms)
    grant = grants.Grant(row.grant, row.node, row.job, row.step, row.queue, row.size, estimate, now)
    grant.task, grant.run = row.task, row.run
    grant.state = runs.GrantState.RUNNING
    return grant
