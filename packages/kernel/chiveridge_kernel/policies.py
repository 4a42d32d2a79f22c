"""The built-in placement policies; importing this module registers them."""

from chiveridge_kernel import count_policies, owner_policies, placements

BUILT_IN = (
    placements.RandomPolicy,
    placements.RoundRobinPolicy,
    placements.PowerOfTwoPolicy,
    owner_policies.OwnersPolicy,
    count_policies.SharedCountsPolicy,
)
"""All policies that the settings may select."""

DEFAULT = "owners"


def names() -> list[str]:
    """Return the policy names that the settings may select."""
    return placements.names()
