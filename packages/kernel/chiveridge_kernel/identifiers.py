"""Names and ids used throughout the system."""

from typing import NewType

TeamName = NewType("TeamName", str)
TargetName = NewType("TargetName", str)
DomainName = NewType("DomainName", str)
NodeName = NewType("NodeName", str)

SubmissionId = NewType("SubmissionId", str)
"""Token issued by one incarnation of one node, see :mod:`chiveridge_kernel.submission_ids`."""

LeaseId = NewType("LeaseId", str)
"""Identifies one start of one task on one target."""

Incarnation = NewType("Incarnation", str)
"""One run of a node process; each restart is a new incarnation."""

Offset = NewType("Offset", int)
"""Position of a record in a stream of the platform's log, counted from 0."""
