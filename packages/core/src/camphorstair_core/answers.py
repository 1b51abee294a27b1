"""Checks that the parts of an answer belong together and are all there."""

import attrs

from camphorstair_core import errors, messages, verdicts

Part = messages.ResponseChunk | messages.ResponseEnd


@attrs.define
class AnswerProgress:
    """How much of one attempt's answer has come.

    :ivar request_id: Identifier of the request.
    :ivar attempt: Number of the attempt.
    :ivar sequence: Number of the last part that was taken.
    :ivar last_event: Number of the last event that was taken.
    :ivar dropped: Parts of other requests or attempts, and repeated parts.
    """

    request_id: str
    attempt: int
    sequence: int = 0
    last_event: int = 0
    dropped: int = 0


def belongs(progress: AnswerProgress, part: Part) -> bool:
    """Tell whether a part is of this attempt and not a repeated one."""
    same = (part.request_id, part.attempt) == (
        progress.request_id,
        progress.attempt,
    )
    repeated = (
        isinstance(part, messages.ResponseChunk)
        and part.sequence <= progress.sequence
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
        raise _broken(progress, f'part {progress.sequence + 1} is missing')
    progress.sequence = chunk.sequence
    progress.last_event = chunk.last_event or progress.last_event


def take_end(progress: AnswerProgress, end: messages.ResponseEnd) -> None:
    """Take the end of the answer.

    :raises errors.RequestError: if the number of parts is not the announced.
    """
    if end.sequence != progress.sequence:
        message = f'{progress.sequence} of {end.sequence} parts came'
        raise _broken(progress, message)


def _broken(progress: AnswerProgress, message: str) -> errors.RequestError:
    return errors.RequestError(
        errors.answer_broken,
        f'request {progress.request_id}: {message}',
        verdicts.Verdict.may_have_run,
    )
