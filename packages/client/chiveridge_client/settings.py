"""Settings of the command: flags override the ``[client]`` section of an INI file."""

import configparser
import ipaddress
import pathlib
import re
import urllib.parse
from collections.abc import Callable

import msgspec

from chiveridge_client import errors, publications

SECTION = "client"
DEFAULT_NODES = "127.0.0.1:7001"
DEFAULT_LOG_URL = "http://127.0.0.1:7900"


class Settings(msgspec.Struct, frozen=True, kw_only=True):
    """Validated settings; ``node_urls`` are base URLs."""

    node_urls: list[str]
    credential: str = ""
    log_url: str = DEFAULT_LOG_URL
    stream: str = publications.DEFAULT_STREAM
    actor: str = ""


def load(config_path: str, flags_by_name: dict[str, str]) -> Settings:
    """Return the settings; an empty or missing flag does not override the file's value.

    :raises errors.InvalidInputError: listing every invalid setting.
    """
    problems: list[str] = []
    texts_by_name = _read_file(config_path, problems)
    texts_by_name |= {name: text for name, text in flags_by_name.items() if text}
    _read_credential(texts_by_name, problems)
    fields = {}
    for name, text in texts_by_name.items():
        try:
            field, parse = _parsers_by_name[name]
            fields[field] = parse(text)
        except KeyError:
            problems.append(
                f"{name}: unknown setting; the settings are {', '.join(_parsers_by_name)}"
            )
        except ValueError as error:
            problems.append(f"{name}: {error}")
    if problems:
        raise errors.InvalidInputError(problems)
    fields.setdefault("node_urls", _parse_nodes(DEFAULT_NODES))
    return Settings(**fields)


def _read_file(config_path: str, problems: list[str]) -> dict[str, str]:
    if not config_path:
        return {}
    parser = configparser.ConfigParser(interpolation=None)
    try:
        parser.read_string(pathlib.Path(config_path).read_text(encoding="utf-8"))
        return dict(parser[SECTION])
    except KeyError:
        problems.append(f"{config_path}: the section [{SECTION}] is missing")
    except (OSError, UnicodeDecodeError, configparser.Error) as error:
        problems.append(f"{config_path}: {error}")
    return {}


def _read_credential(texts_by_name: dict[str, str], problems: list[str]) -> None:
    """Replace ``credential_file`` by its content; ``credential`` takes precedence."""
    path = texts_by_name.pop("credential_file", "")
    if not path or texts_by_name.get("credential"):
        return
    try:
        text = pathlib.Path(path).read_text(encoding="utf-8").strip()
    except (OSError, UnicodeDecodeError) as error:
        problems.append(f"credential_file: {error}")
        return
    texts_by_name["credential"] = text


def _parse_nodes(text: str) -> list[str]:
    addresses = [item.strip() for item in text.split(",") if item.strip()]
    if not addresses:
        raise ValueError("no address is given")
    return [_parse_url(f"http://{address}") for address in addresses]


def _parse_url(text: str) -> str:
    parts = urllib.parse.urlsplit(text)
    if parts.scheme not in ("http", "https") or not parts.hostname or not parts.port:
        raise ValueError(f"{text!r} lacks a scheme, an IP address or a port")
    ipaddress.ip_address(parts.hostname)
    return text.rstrip("/")


def _parse_credential(text: str) -> str:
    team, dot, secret = text.rpartition(".")
    if not (team and dot and secret) or not text.isascii() or not text.isprintable():
        raise ValueError("the credential is not of the form TEAM.SECRET")
    return text


def _parse_stream(text: str) -> str:
    if not re.fullmatch(r"[\w-][\w.-]*", text, re.ASCII):
        raise ValueError(f"{text!r} must consist of letters, digits, '_', '-' and '.'")
    return text


_parsers_by_name: dict[str, tuple[str, Callable[[str], object]]] = {
    "nodes": ("node_urls", _parse_nodes),
    "credential": ("credential", _parse_credential),
    "log_url": ("log_url", _parse_url),
    "stream": ("stream", _parse_stream),
    "actor": ("actor", str),
}
