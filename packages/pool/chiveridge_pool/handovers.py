"""Conversion of an owned target to a handover message and back."""

import datetime

from chiveridge_kernel import clocks
from chiveridge_pool import (
    grants,
    identifiers,
    messages,
    owned_targets,
    runs,
    target_speeds,
    targets,
    timings,
)


class HandedOverGrants:
    """The owners of grants that were handed over with their targets, to this node or by it.

    A job's node may ask the former owner to stop a run before it learns of the new one.
    """

    def __init__(self):
        # In the order in which they were handed over.
        self._owner_by_grant: dict[
            identifiers.GrantId, tuple[identifiers.NodeId, datetime.datetime]
        ] = {}

    def add(
        self, moved: list[grants.Grant], owner: identifiers.NodeId, now: datetime.datetime
    ) -> None:
        """Record the owner to which grants were handed, which may be this node."""
        for grant in moved:
            self._owner_by_grant.pop(grant.id, None)
            self._owner_by_grant[grant.id] = owner, now

    def owner_of(self, grant: identifiers.GrantId) -> identifiers.NodeId | None:
        """Return the owner to which a grant was handed, or None."""
        owner, _ = self._owner_by_grant.get(grant, (None, None))
        return owner

    def forget_old(self, now: datetime.datetime) -> None:
        """Forget the grants that were handed over long ago."""
        for grant, (_, handed_at) in list(self._owner_by_grant.items()):
            if now - handed_at < timings.HANDOVER_REMEMBERED:
                return
            del self._owner_by_grant[grant]


def build_handover(
    owned: owned_targets.OwnedTarget,
    owner: identifiers.NodeId,
    speeds: target_speeds.TargetSpeeds,
    now: datetime.datetime,
) -> messages.Handover:
    """Return the message that hands over a target, its runs and what is known of its speed."""
    speed_excess, speed_runs = speeds.learned(owned.target.id)
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
            grant.is_isolated,
            clocks.to_ms(grant.attempts.executable_until(now) - now),
            clocks.to_ms(max(grant.retry_by, now) - now),
        )
        for grant in owned.sent_grants()
    )
    return messages.Handover(
        sender=owner,
        target=owned.target,
        token=owned.token,
        acknowledged=owned.acknowledged,
        started_at_ms=owned.started_at_ms,
        runs=rows,
        speed_excess=speed_excess,
        speed_runs=speed_runs,
    )


def grants_by_node(
    owned: owned_targets.OwnedTarget,
) -> dict[identifiers.NodeId, tuple[identifiers.GrantId, ...]]:
    """Return the grants that change owner with a target, by the node to be notified."""
    by_node: dict[identifiers.NodeId, tuple[identifiers.GrantId, ...]] = {}
    for grant in owned.sent_grants():
        by_node[grant.node] = (*by_node.get(grant.node, ()), grant.id)
    return by_node


def restore_owned_target(
    message: messages.Handover,
    target: targets.Target,
    token: identifiers.FencingToken,
    now: datetime.datetime,
) -> owned_targets.OwnedTarget:
    """Return the new owner's state of a target that was handed over, under its own token."""
    owned = owned_targets.OwnedTarget(target, token, now)
    owned.acknowledged = message.acknowledged
    owned.started_at_ms = message.started_at_ms
    for row in message.runs:
        owned.add(_restore_grant(row, token, now))
    return owned


def _restore_grant(
    row: messages.HandedRun, token: identifiers.FencingToken, now: datetime.datetime
) -> grants.Grant:
    estimate = datetime.timedelta(milliseconds=row.estimate_ms)
    grant = grants.Grant(row.grant, row.node, row.job, row.step, row.queue, row.size, estimate, now)
    grant.task, grant.run, grant.token = row.task, row.run, token
    grant.is_isolated = row.is_isolated
    grant.attempts.restore(datetime.timedelta(milliseconds=row.executable_for_ms), now)
    grant.retry_by = now + datetime.timedelta(milliseconds=row.retry_slack_ms)
    grant.state = runs.GrantState.RUNNING
    return grant
