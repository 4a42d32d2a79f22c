"""Which node leads a job, as an owner knows it from the grants that it has given."""

from collections.abc import Iterable

from chiveridge_pool import grants, identifiers, messages


def find_other_leader(
    request: messages.CapacityRequest, granted: Iterable[grants.Grant]
) -> identifiers.NodeId | None:
    """Return another node that holds a grant for the job of a capacity request, or None.

    The requester's former leader does not count: it has given the job up, or is lost to it.
    """
    for grant in granted:
        is_same_job = grant.job == request.job
        if is_same_job and grant.node not in (request.sender, request.former_leader):
            return grant.node
    return None
