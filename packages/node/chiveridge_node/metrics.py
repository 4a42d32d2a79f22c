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
peer_sent_bytes = prometheus_client.Counter(
    "chiveridge_peer_sent_bytes", "Bytes of messages sent to peers, without headers."
)
peer_sent_messages = prometheus_client.Counter(
    "chiveridge_peer_sent_messages", "Messages sent to peers."
)
