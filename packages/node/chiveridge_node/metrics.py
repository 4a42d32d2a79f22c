"""Metrics of a node, served on ``/metrics``."""

import prometheus_client

peer_messages_dropped = prometheus_client.Counter(
    "chiveridge_peer_messages_dropped",
    "Messages from peers that were dropped, by reason.",
    ["reason"],
)
peer_links_closed = prometheus_client.Counter(
    "chiveridge_peer_links_closed", "Connections to peers that this node closed."
)
