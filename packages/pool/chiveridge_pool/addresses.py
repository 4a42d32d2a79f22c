"""Checks of network addresses that other processes send."""

import ipaddress
import re

_MAX_HOST_CHARACTERS = 253
_MAX_PORT = 65_535
_LABEL = r"[A-Za-z0-9_]([A-Za-z0-9_-]{0,61}[A-Za-z0-9_])?"
_HOST_NAME = re.compile(rf"{_LABEL}(\.{_LABEL})*")
_DOTTED_NUMBERS = re.compile(r"[0-9.]+")


class AddressError(ValueError):
    """An address that nothing can be connected to."""


def check(address: str) -> None:
    """Check an address of the form ``host:port``; the host is an IP number or a name.

    :raises AddressError: if it has another form, or a part of it is out of range.
    """
    host, separator, port = address.rpartition(":")
    if not separator or not host:
        raise AddressError(f"{address[:80]!r} is not host:port")
    if not (port.isascii() and port.isdigit() and len(port) <= 5 and 1 <= int(port) <= _MAX_PORT):
        raise AddressError(f"port {port[:20]!r} is not from 1 to {_MAX_PORT}")
    if not _is_host(host):
        raise AddressError(f"host {host[:80]!r} is neither an IP number nor a name")


def _is_host(host: str) -> bool:
    if host.startswith("["):
        return host.endswith("]") and _is_ip(host[1:-1], ipaddress.IPv6Address)
    if _DOTTED_NUMBERS.fullmatch(host):
        return _is_ip(host, ipaddress.IPv4Address)
    return len(host) <= _MAX_HOST_CHARACTERS and _HOST_NAME.fullmatch(host) is not None


def _is_ip(text: str, kind: type) -> bool:
    try:
        kind(text)
    except ValueError:
        return False
    return True
