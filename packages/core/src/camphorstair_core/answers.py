"""Checks that the parts of an answer belong together and are all there."""

import typing

import attrs

from camphorstair_core import errors, messages, verdicts

Part = messages.ResponseChunk | messages.ResponseEnd
Reply = (
    messages.ResponseHead
    | messages.ResponseChunk
    | messages.ResponseEnd
    | messages.ResponseFailed
    | messages.RequestRefused
)
REPLIES = typing.get_args(Reply)


@attrs.define
class AnswerProgress:
    """How much of one attempt's answer has come.

    :ivar request_id: Identifier of the request.
    :ivar attempt: Number of the attempt.
    :ivar sequence: Number of the last part that was taken.
    :ivar dropped: Parts of other requests or attempts, and repeated parts.
    """

    request_id: str
    attempt: int
    sequence: int = 0
    dropped: int = 0


def belongs(progress: AnswerProgress, reply: Reply) -> bool:
    """Tell whether a reply is of this attempt and not a repeated part.

    A refusal carries no attempt: it is the last message of its exchange.
    """
    same = reply.request_id == progress.request_id
    if not isinstance(reply, messages.RequestRefused):
        same = same and reply.attempt == progress.attempt
    repeated = (
        isinstance(reply, messages.ResponseChunk)
        and reply.sequence <= progress.sequence
    )
    if same and not repeated:
        return True
    progress.dropped += 1
    return False


def take_chunk(
    progress: AnswerProgress,
    chunk: messages.ResponseChunk,
) -> None:
    """Take the next part.

    :raises errors.RequestError: if a part before it is missing.
    """
    if chunk.sequence != progress.sequence + 1:
        raise broken(
            progress.request_id,
            f'part {progress.sequence + 1} is missing',
        )
    progress.sequence = chunk.sequence


def take_end(progress: AnswerProgress, end: messages.ResponseEnd) -> None:
    """Take the end of the answer.

    :raises errors.RequestError: if the number of parts is not the announced.
    """
    if end.sequence != progress.sequence:
        raise broken(
            progress.request_id,
            f'{progress.sequence} of {end.sequence} parts came',
        )


def broken(request_id: str, message: str) -> errors.RequestError:
    """Return the error of an answer whose parts do not fit together."""
    return errors.RequestError(
        errors.answer_broken,
        f'request {request_id}: {message}',
        verdicts.Verdict.may_have_run,
    )
