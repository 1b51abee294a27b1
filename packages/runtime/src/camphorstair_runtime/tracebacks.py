"""Frees what the tracebacks of errors refer to."""

import traceback
from collections import abc


def clear_locals(errors: abc.Iterable[BaseException | None]) -> None:
    """Clear the local variables of the functions that errors have ended.

    A task and the error that has ended it refer to each other. Until the
    garbage collector finds them, all that these functions have received stays
    in memory.

    :param errors: The errors; None for a task that ended without one.
    """
    for error in errors:
        while error is not None:
            traceback.clear_frames(error.__traceback__)
            error = error.__context__
