"""Packs limit reports and grants of many teams into batch messages, and unpacks them."""

import itertools
from collections.abc import Iterable, Iterator

from chiveridge_kernel import identifiers, limit_grants, limit_messages


def pack(
    reports: Iterable[limit_grants.LimitReport], grants: Iterable[limit_grants.LimitGrant]
) -> Iterator[limit_messages.LimitBatch]:
    """Pack reports and grants for one node into as few batches as possible.

    All reports have the same sequence. A batch holds only reports that follow the same allocator
    and only grants to the same incarnation of the holder.
    """
    reports_by_allocator: dict[str, list[limit_grants.LimitReport]] = {}
    for report in reports:
        reports_by_allocator.setdefault(report.allocator_seen, []).append(report)
    grants_by_holder: dict[str, list[limit_grants.LimitGrant]] = {}
    for grant in grants:
        grants_by_holder.setdefault(grant.holder_incarnation, []).append(grant)
    groups = itertools.zip_longest(
        reports_by_allocator.values(), grants_by_holder.values(), fillvalue=[]
    )
    for batch_reports, batch_grants in groups:
        yield _new_batch(batch_reports, batch_grants)


def _new_batch(
    reports: list[limit_grants.LimitReport], grants: list[limit_grants.LimitGrant]
) -> limit_messages.LimitBatch:
    any_part = [*reports, *grants][0]
    return limit_messages.LimitBatch(
        sender=any_part.sender,
        incarnation=any_part.incarnation,
        sequence=reports[0].sequence if reports else 0,
        lease_ms=reports[0].lease_ms if reports else 0,
        allocator_seen=reports[0].allocator_seen if reports else "",
        uses=[
            limit_messages.LimitUse(report.team, report.in_use, report.wanted, report.serial_seen)
            for report in reports
        ],
        holder_incarnation=identifiers.Incarnation(grants[0].holder_incarnation if grants else ""),
        allowances=[
            limit_messages.LimitAllowance(grant.team, grant.sequence, grant.serial, grant.allowed)
            for grant in grants
        ],
    )


def unpack_reports(batch: limit_messages.LimitBatch) -> Iterator[limit_grants.LimitReport]:
    """Yield the reports in a batch."""
    for use in batch.uses:
        yield limit_grants.LimitReport(
            sender=batch.sender,
            incarnation=batch.incarnation,
            team=use.team,
            sequence=batch.sequence,
            in_use=use.in_use,
            wanted=use.wanted,
            allocator_seen=batch.allocator_seen,
            serial_seen=use.serial_seen,
            lease_ms=batch.lease_ms,
        )


def unpack_grants(batch: limit_messages.LimitBatch) -> Iterator[limit_grants.LimitGrant]:
    """Yield the grants in a batch."""
    for allowance in batch.allowances:
        yield limit_grants.LimitGrant(
            sender=batch.sender,
            incarnation=batch.incarnation,
            holder_incarnation=batch.holder_incarnation,
            team=allowance.team,
            sequence=allowance.sequence,
            serial=allowance.serial,
            allowed=allowance.allowed,
        )
