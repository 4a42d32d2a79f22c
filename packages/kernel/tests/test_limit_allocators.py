import datetime

import limited_domains
import msgspec

from chiveridge_kernel import clocks, limit_allocators, limit_grants


def test_a_new_allocator_grants_nothing_while_earlier_grants_may_hold():
    allocator = limit_allocators.LimitAllocator(limited_domains.TEAM, "e1", "a", clocks.EPOCH)

    def report(sequence: int, now: datetime.datetime) -> int:
        message = limit_grants.LimitReport(
            sender="e2",
            incarnation="a",
            team=limited_domains.TEAM,
            sequence=sequence,
            in_use=0,
            wanted=9,
            serial_seen=0,
        )
        ((_, grant),) = allocator.handle_report(message, limited_domains.LIMIT, now)
        return grant.allowed

    assert report(1, clocks.EPOCH + limit_allocators.LEASE - limited_domains.STEP) == 0
    assert report(2, clocks.EPOCH + limit_allocators.LEASE) == limited_domains.LIMIT


def test_a_holder_that_follows_an_earlier_allocator_counts_as_using_the_whole_limit():
    allocator = limit_allocators.LimitAllocator(limited_domains.TEAM, "e1", "b", clocks.EPOCH)
    now = clocks.EPOCH + limit_allocators.LEASE

    def allowed_for_e3(sequence: int) -> int:
        report = limit_grants.LimitReport(
            sender="e3",
            incarnation="a",
            team=limited_domains.TEAM,
            sequence=sequence,
            in_use=0,
            wanted=9,
        )
        return dict(allocator.handle_report(report, limited_domains.LIMIT, now))["e3"].allowed

    follower = limit_grants.LimitReport(
        sender="e2",
        incarnation="a",
        team=limited_domains.TEAM,
        sequence=1,
        in_use=0,
        wanted=0,
        allocator_seen="a",
    )
    allocator.handle_report(follower, limited_domains.LIMIT, now)
    assert allowed_for_e3(1) == 0
    allocator.handle_report(
        msgspec.structs.replace(follower, sequence=2, allocator_seen="b"),
        limited_domains.LIMIT,
        now,
    )
    assert allowed_for_e3(2) == limited_domains.LIMIT


def test_a_late_first_report_does_not_count_as_current_use():
    allocator = limit_allocators.LimitAllocator(limited_domains.TEAM, "e1", "b", clocks.EPOCH)
    now = clocks.EPOCH + limit_allocators.LEASE

    def report(sender: str, sequence: int, wanted: int, **fields) -> dict[str, int]:
        message = limit_grants.LimitReport(
            sender=sender,
            incarnation="a",
            team=limited_domains.TEAM,
            sequence=sequence,
            in_use=0,
            wanted=wanted,
            **fields,
        )
        grants = allocator.handle_report(message, limited_domains.LIMIT, now)
        return {node: grant.allowed for node, grant in grants}

    # This report was sent before e2 received a grant of the earlier allocator.
    report("e2", 1, wanted=0)
    assert report("e3", 1, wanted=9)["e3"] == 0
    report("e2", 2, wanted=0, allocator_seen="b")
    assert report("e3", 2, wanted=9)["e3"] == limited_domains.LIMIT


def test_a_joining_holder_takes_no_more_than_its_share_from_others():
    allocator = limit_allocators.LimitAllocator(limited_domains.TEAM, "e1", "b", clocks.EPOCH)
    now = clocks.EPOCH + limit_allocators.LEASE

    def report(sender: str, **fields) -> dict[str, int]:
        message = limit_grants.LimitReport(
            sender=sender, incarnation="a", team=limited_domains.TEAM, **fields
        )
        grants = allocator.handle_report(message, limited_domains.LIMIT, now)
        return {node: grant.allowed for node, grant in grants}

    assert report("e2", sequence=1, in_use=0, wanted=9, allocator_seen="b")["e2"] == 5
    grants_after_join = report("e3", sequence=1, in_use=0, wanted=9)
    assert (grants_after_join["e2"], grants_after_join["e3"]) == (2, 0)
