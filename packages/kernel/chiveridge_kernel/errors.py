"""Exceptions of the kernel."""

from chiveridge_kernel import results


class ChiveridgeError(Exception):
    """Base class of the exceptions that this project raises itself."""


class RefusedError(ChiveridgeError):
    """A request is refused; ``ran`` is what is known about the tasks of its submission id."""

    def __init__(
        self,
        code: results.ResultCode,
        message: str,
        retry_after_ms: int | None = None,
        ran: results.TaskOutcome = results.TaskOutcome.NOT_RUN,
    ):
        super().__init__(message)
        self.code = code
        self.message = message
        self.retry_after_ms = retry_after_ms
        self.ran = ran


class SelectorError(ChiveridgeError):
    """A label selector cannot be parsed."""


class RecordError(ChiveridgeError):
    """A record of the platform's log is not a valid configuration change."""


class VmListError(ChiveridgeError):
    """Changes of the list of VMs do not fit the list that is known here."""


class SnapshotError(ChiveridgeError):
    """A snapshot is incomplete, corrupt or too large."""
