"""Size-limited store of encoded final answers, which callers can fetch repeatedly."""

import collections

import msgspec

from chiveridge_kernel import identifiers, results

DEFAULT_BUDGET_BYTES = 64 * 1024 * 1024
ENTRY_OVERHEAD_BYTES = 400


class StoredAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """The encoded answer to a submission.

    ``digest`` identifies the content of the submission; without it, any content matches.
    """

    team: identifiers.TeamName
    code: results.ResultCode
    body: bytes
    digest: bytes | None = None


_AnswersById = collections.OrderedDict[identifiers.SubmissionId, StoredAnswer]


class AnswerStore:
    """Stores answers up to a size limit.

    Above the limit the oldest fetched answer is evicted, or the oldest one if none was fetched.
    """

    def __init__(self, budget_bytes: int = DEFAULT_BUDGET_BYTES):
        self.stored_bytes = 0
        self._budget_bytes = budget_bytes
        self._fetched: _AnswersById = collections.OrderedDict()
        self._unfetched: _AnswersById = collections.OrderedDict()

    def put(self, submission_id: identifiers.SubmissionId, answer: StoredAnswer) -> None:
        """Store an answer, unless the submission has one already."""
        if self.find(submission_id) is not None:
            return
        self._unfetched[submission_id] = answer
        self.stored_bytes += _stored_size(answer)
        while self.stored_bytes > self._budget_bytes:
            self._evict_oldest()

    def find(self, submission_id: identifiers.SubmissionId) -> StoredAnswer | None:
        """Return the stored answer to a submission, or None."""
        return self._unfetched.get(submission_id) or self._fetched.get(submission_id)

    def note_fetched(self, submission_id: identifiers.SubmissionId) -> None:
        """Mark an answer as fetched by its caller; it is then evicted before unfetched ones."""
        answer = self._unfetched.pop(submission_id, None)
        if answer is not None:
            self._fetched[submission_id] = answer

    def newest(self, limit_bytes: int) -> dict[identifiers.SubmissionId, StoredAnswer]:
        """Return answers up to a total size: unfetched before fetched ones, newer before older."""
        stored = {}
        for answers_by_id in (self._unfetched, self._fetched):
            for submission_id, answer in reversed(answers_by_id.items()):
                limit_bytes -= _stored_size(answer)
                if limit_bytes < 0:
                    return stored
                stored[submission_id] = answer
        return stored

    def _evict_oldest(self) -> None:
        answers_by_id = self._fetched or self._unfetched
        _, answer = answers_by_id.popitem(last=False)
        self.stored_bytes -= _stored_size(answer)


def _stored_size(answer: StoredAnswer) -> int:
    return len(answer.body) + ENTRY_OVERHEAD_BYTES
