"""Identifier types used in the pool's messages and tables."""

from typing import NewType

NodeId = NewType("NodeId", str)
"""One incarnation of a node; it changes when the node restarts."""

Endpoint = NewType("Endpoint", str)
"""Address on which a node accepts peer connections, as ``address:port``."""

TargetId = NewType("TargetId", str)
DomainName = NewType("DomainName", str)
JobId = NewType("JobId", str)
TaskName = NewType("TaskName", str)
QueueName = NewType("QueueName", str)
ServiceName = NewType("ServiceName", str)

GrantId = NewType("GrantId", str)
"""Permission to run one task once on one target; unique across all nodes."""

CallerId = NewType("CallerId", int)
"""One open request of a caller at this node."""

FencingToken = NewType("FencingToken", int)
RunNumber = NewType("RunNumber", int)

AttemptNumber = NewType("AttemptNumber", int)
"""Number of an attempt to start one run, counted from 1."""
