"""Rendezvous hashing: the weight of a node for a target."""

import hashlib

_SCORE_BYTES = 8


def score(node: str, target: str) -> int:
    """Return the weight of a node for a target; the node with the highest weight owns it."""
    digest = hashlib.blake2b(f"{node}/{target}".encode(), digest_size=_SCORE_BYTES)
    return int.from_bytes(digest.digest(), "big")
