"""Exceptions of the client, all derived from ``chiveridge_kernel.errors.ChiveridgeError``."""

import datetime

from chiveridge_kernel import errors, identifiers, results


class ClientError(errors.ChiveridgeError):
    """Base of the errors raised by the client."""


class RefusedError(ClientError):
    """A node refused the request; ``ran`` is the outcome of its tasks."""

    def __init__(
        self,
        code: results.ResultCode,
        message: str,
        retry_after: datetime.timedelta | None = None,
        ran: results.TaskOutcome = results.TaskOutcome.NOT_RUN,
    ):
        super().__init__(f"{code.value} {code.name}: {message}")
        self.code = code
        self.message = message
        self.retry_after = retry_after
        self.ran = ran


class UnreachableError(ClientError):
    """No server gave a usable reply, and the request started nothing."""


class OutcomeUnknownError(ClientError):
    """No answer arrived in time: the tasks of the submission may or may not have run."""

    def __init__(self, submission_id: identifiers.SubmissionId, reason: str):
        super().__init__(f"outcome of submission {submission_id} is unknown: {reason}")
        self.submission_id = submission_id
        self.reason = reason


class ReplyLostError(ClientError):
    """A request got no usable reply, so its effect is unknown."""


class NotSentError(ReplyLostError):
    """No connection could be made, so the request had no effect."""


class LogError(ClientError):
    """The platform's log refused a request or sent an unexpected reply."""


class LogReplyLostError(LogError):
    """The platform's log gave no reply; an append may have taken effect."""


class OffsetExpiredError(LogError):
    """The offset to read from has expired; ``first_offset`` is the oldest offset in the log."""

    def __init__(self, first_offset: identifiers.Offset, next_offset: identifiers.Offset):
        super().__init__(f"the offset has expired; the log keeps {first_offset} to {next_offset}")
        self.first_offset = first_offset
        self.next_offset = next_offset


class PublicationUnknownError(ClientError):
    """It is unknown whether a published change took effect."""

    def __init__(self, change_id: str, reason: str):
        super().__init__(f"outcome of change {change_id} is unknown: {reason}")
        self.change_id = change_id
        self.reason = reason


class InvalidInputError(ClientError):
    """A file, a setting or an argument is invalid; ``problems`` lists every error found."""

    def __init__(self, problems: list[str]):
        super().__init__("\n".join(problems))
        self.problems = problems
