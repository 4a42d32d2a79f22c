import limited_domains
import msgspec

from chiveridge_kernel import clocks, limit_grants, limit_shares


def test_a_late_grant_changes_nothing():
    share = limit_shares.LimitShare(allocator_name="e1")
    share.record_report(1, clocks.EPOCH)
    later = limit_grants.LimitGrant(
        sender="e1",
        incarnation="a",
        holder_incarnation="a",
        team=limited_domains.TEAM,
        sequence=1,
        serial=2,
        allowed=1,
    )
    share.apply_grant(later)
    share.apply_grant(msgspec.structs.replace(later, serial=1, allowed=limited_domains.LIMIT))
    assert share.allowed == 1
