"""Counts the bytes that a process spends on control."""

import attrs


@attrs.define
class Traffic:
    """Bytes sent and received, without headers of TCP and IP.

    :ivar control_bytes: Bytes of everything but requests and answers.
    """

    control_bytes: int = 0


PROCESS = Traffic()
