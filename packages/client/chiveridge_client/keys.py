"""Creates keys for calling teams."""

import hashlib
import secrets

import msgspec

from chiveridge_client import errors

SECRET_BYTES = 32


class NewKey(msgspec.Struct, frozen=True):
    """A new key: the credential for the team and the digest for the configuration."""

    team: str
    secret: str
    credential: str
    digest: str


def create(team: str) -> NewKey:
    """Return a new random key for a team.

    :raises errors.InvalidInputError: when the team's name is not printable or has spaces.
    """
    if not team or not team.isprintable() or " " in team:
        raise errors.InvalidInputError([f"TEAM: {team!r} is not a printable name without spaces"])
    secret = secrets.token_urlsafe(SECRET_BYTES)
    return NewKey(team, secret, f"{team}.{secret}", digest_of(secret))


def digest_of(secret: str) -> str:
    """Return the SHA-256 hex digest of a secret."""
    return hashlib.sha256(secret.encode()).hexdigest()
