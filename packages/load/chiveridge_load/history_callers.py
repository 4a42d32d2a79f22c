"""The caller of a history's job, which sends it again when its connection breaks."""

import datetime
from typing import TYPE_CHECKING

from chiveridge_load import history_choices, pool_models
from chiveridge_pool import actions, identifiers

if TYPE_CHECKING:
    from chiveridge_load import history_plays

_CHECK_INTERVAL = datetime.timedelta(milliseconds=20)
_MAX_SENDS = 3


class Caller:
    """Sends a job to a node, and again after a delay if it was given up or the connection broke."""

    def __init__(self, history: "history_plays.History", resend_delay: datetime.timedelta):
        self._history = history
        self._resend_delay = resend_delay
        self._sends: list[tuple[identifiers.CallerId, pool_models.NodeModel]] = []
        self._has_left = False
        self._is_resending = False

    def send(self, node: pool_models.NodeModel) -> None:
        """Send the job to a node."""
        self._is_resending = False
        self._history.record(f"the job is sent to {node.name}")
        sent = self._history.pool.submit(node, self._history.request)
        self._sends.append((sent, node))
        self._check(sent)

    def is_waiting(self) -> bool:
        """Return whether the caller has a connection on which it waits for an answer."""
        return not (self._has_left or self._is_resending) and self._is_open(self._sends[-1][0])

    def is_finished(self) -> bool:
        """Return whether the caller has an answer, has left or cannot send the job again."""
        return self._has_left or not (self._is_resending or self._is_open(self._sends[-1][0]))

    def lose_connection(self) -> None:
        """Break the connection, as the node notices, and send the job again later."""
        sent, _ = self._sends[-1]
        self._history.pool.leave(sent)
        self._history.pool.broken_callers.add(sent)
        self._resend_later()

    def fall_silent(self) -> None:
        """Lose the connection without the node noticing, and send the job again later."""
        self._history.pool.broken_callers.add(self._sends[-1][0])
        self._resend_later()

    def leave(self) -> None:
        """Close the connection and do not send the job again."""
        self._history.pool.leave(self._sends[-1][0])
        self._has_left = True

    def unanswered(self) -> list[identifiers.CallerId]:
        """Return the connections that are open and have got no answer."""
        if self._has_left:
            return []
        return [sent for sent, _ in self._sends if self._is_open(sent)]

    def _is_open(self, sent: identifiers.CallerId) -> bool:
        pool = self._history.pool
        return sent not in pool.answers_by_caller and sent not in pool.broken_callers

    def _check(self, sent: identifiers.CallerId) -> None:
        """Send the job again if the connection broke or the job was given up."""
        if self._has_left or self._is_resending or sent != self._sends[-1][0]:
            return
        answer = self._history.pool.answers_by_caller.get(sent)
        is_given_up = answer is not None and answer.verdict is actions.Verdict.GIVEN_UP
        if is_given_up or sent in self._history.pool.broken_callers:
            self._resend_later()
        elif answer is None:
            self._history.call_later(_CHECK_INTERVAL, lambda: self._check(sent))

    def _resend_later(self) -> None:
        if len(self._sends) < _MAX_SENDS:
            self._is_resending = True
            self._history.call_later(self._resend_delay, self._resend)

    def _resend(self) -> None:
        """Send the job again; the node that it reaches is not a disturbance."""
        if self._has_left:
            return
        _, last = self._sends[-1]
        nodes = sorted(self._history.nodes(), key=lambda node: node is last)
        options = [history_choices.Option(f"sent again to {node.name}", 0) for node in nodes]
        taken = self._history.choices.choose("the job is sent again", options)
        self.send(nodes[options.index(taken)])
