"""Types of the identifiers that the pool's messages and tables are keyed by."""

from typing import NewType

NodeId = NewType("NodeId", str)
"""One incarnation of a node; a node that restarts has another."""

Endpoint = NewType("Endpoint", str)
"""Where a node listens for its peers, as ``address:port``."""

TargetId = NewType("TargetId", str)
ZoneName = NewType("ZoneName", str)
JobId = NewType("JobId", str)
TaskName = NewType("TaskName", str)
QueueName = NewType("QueueName", str)
ServiceName = NewType("ServiceName", str)

GrantId = NewType("GrantId", str)
"""The right to run one task on one target once; unique over all nodes."""

CallerId = NewType("CallerId", int)
"""One request of a caller that waits for its answer at this node."""

FencingToken = NewType("FencingToken", int)
RunNumber = NewType("RunNumber", int)
