"""Checks that the parts of a response belong together and are complete."""

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
    """How much of the response to one attempt has been received.

    :ivar request_id: Identifier of the request.
    :ivar attempt: Number of the attempt.
    :ivar sequence: Number of the last accepted part.
    :ivar dropped: Number of dropped replies: those to other requests or
        attempts, and repeated parts.
    """

    request_id: str
    attempt: int
    sequence: int = 0
    dropped: int = 0


def belongs_to_attempt(progress: AnswerProgress, reply: Reply) -> bool:
    """Return whether a reply belongs to this attempt and is not a duplicate.

    Other replies are counted as dropped. A refusal has no attempt number,
    because it is the last message of its exchange.

    :param progress: The progress of the attempt.
    :param reply: The received message.
    """
    same_attempt = reply.request_id == progress.request_id
    if not isinstance(reply, messages.RequestRefused):
        same_attempt = same_attempt and reply.attempt == progress.attempt
    repeated = (
        isinstance(reply, messages.ResponseChunk)
        and reply.sequence <= progress.sequence
    )
    if same_attempt and not repeated:
        return True
    progress.dropped += 1
    return False


def accept_chunk(
    progress: AnswerProgress,
    chunk: messages.ResponseChunk,
) -> None:
    """Accept the next part of the response.

    :param progress: The progress of the attempt, which is updated.
    :param chunk: The part.
    :raises errors.RequestError: if an earlier part is missing.
    """
    if chunk.sequence != progress.sequence + 1:
        raise broken(
            progress.request_id,
            f'part {progress.sequence + 1} is missing',
        )
    progress.sequence = chunk.sequence


def accept_end(progress: AnswerProgress, end: messages.ResponseEnd) -> None:
    """Check that all parts were received when the response ends.

    :param progress: The progress of the attempt.
    :param end: The last message, which gives the number of parts.
    :raises errors.RequestError: if the number of received parts differs.
    """
    if end.sequence != progress.sequence:
        raise broken(
            progress.request_id,
            f'{progress.sequence} of {end.sequence} parts came',
        )


def broken(request_id: str, message: str) -> errors.RequestError:
    """Return the error for an incomplete or inconsistent response.

    :param request_id: Identifier of the request.
    :param message: What is wrong with the response.
    """
    return errors.RequestError(
        errors.answer_broken,
        f'request {request_id}: {message}',
        verdicts.Verdict.may_have_run,
    )
