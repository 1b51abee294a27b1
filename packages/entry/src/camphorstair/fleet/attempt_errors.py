"""Errors of attempts that ended without a complete answer to the caller."""

import http

from camphorstair_core import errors, verdicts
from camphorstair_runtime import http_messages


class AttemptError(Exception):
    """An attempt that ended without a complete answer to the caller.

    :ivar verdict: Whether the endpoint may have run the request.
    :ivar answer: The endpoint's complete error response, relayed to the caller
        if no further attempt is made; None if there is none.
    :ivar sent: Whether anything was sent to the endpoint.
    :ivar misdirected: Whether a different endpoint answered at the address.
    :ivar withdrawn: Whether the entry has withdrawn the request before it was
        sent, so that the endpoint is not at fault.
    :ivar suspect: Whether the request may have crashed the engine.
    """

    def __init__(
        self,
        message: str,
        verdict: verdicts.Verdict,
        *,
        answer: http_messages.Response | None = None,
        sent: bool = True,
        misdirected: bool = False,
        withdrawn: bool = False,
    ) -> None:
        """Store the message and the outcome of the attempt."""
        super().__init__(message)
        self.verdict = verdict
        self.answer = answer
        self.sent = sent
        self.misdirected = misdirected
        self.withdrawn = withdrawn
        self.suspect = False

    def timed_out(self) -> bool:
        """Return whether the endpoint stopped at the deadline it was sent.

        Such an attempt does not count as a failure of the endpoint.
        """
        answer = self.answer
        return (
            answer is not None
            and answer.status == http.HTTPStatus.GATEWAY_TIMEOUT
        )


def incomplete_answer_error(message: str) -> errors.RequestError:
    """Return the error for an answer that ended before it was complete.

    Its verdict is that the request may have run.
    """
    return errors.RequestError(
        errors.answer_broken, message, verdicts.Verdict.may_have_run
    )
