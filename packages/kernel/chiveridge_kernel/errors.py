"""Exceptions of the kernel."""

from chiveridge_kernel import results


class ChiveridgeError(Exception):
    """Base of every error this project raises on purpose."""


class RefusedError(ChiveridgeError):
    """A request is refused; ``ran`` says what is known of the tasks under its submission id."""

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
    """Changes of the list of VMs do not follow what is known of it."""


class SnapshotError(ChiveridgeError):
    """A snapshot is torn, corrupt or too large."""
