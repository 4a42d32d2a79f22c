"""Numbered log events, one JSON line each; ``docs/events.md`` lists them."""

import enum
import json

from absl import logging


class LogEvent(enum.IntEnum):
    """Events that operators may search for; a number is never reused."""

    NODE_LISTENING = 100
    DRAIN_STARTED = 102
    NODE_STOPPED = 103
    STOP_FORCED = 104
    PROCESS_PAUSED = 105
    SETTINGS_RELOADED = 106
    SETTINGS_REJECTED = 107

    CHANGE_ACCEPTED = 200
    CHANGE_REJECTED = 201
    LOG_UNREACHABLE = 202
    LOG_REACHABLE = 203
    RECORDS_EXPIRED = 204
    VMS_UNREACHABLE = 205
    VMS_REACHABLE = 206
    SNAPSHOT_WRITTEN = 207
    SNAPSHOT_FAILED = 208
    CONFIGURATION_FROM_PEER = 209
    CONFIGURATION_FROM_SNAPSHOT = 210
    PLATFORM_READ_FAULT = 211
    RECORD_SKIPPED = 213

    PEER_MESSAGE_DROPPED = 300
    PEER_UNREACHABLE = 301
    PEER_SILENT = 302

    START_LOST = 400
    STOP_LOST = 403

    INTERNAL_FAULT = 900


def log_event(event: LogEvent, **fields: object) -> None:
    """Log an event with its fields as one line of JSON."""
    logging.info("%s", _line(event, fields))


def log_exception(event: LogEvent, **fields: object) -> None:
    """Log an event at error level with the traceback of the current exception."""
    logging.exception("%s", _line(event, fields))


def _line(event: LogEvent, fields: dict[str, object]) -> str:
    return json.dumps({"event": int(event), "name": event.name, **fields}, default=str)
