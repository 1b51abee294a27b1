"""Counts the bytes of control traffic of a process."""

import attrs


@attrs.define
class Traffic:
    """Bytes sent and received, without TCP and IP headers.

    :ivar control_bytes: Bytes of control traffic, which is everything except
        callers' requests and their responses.
    """

    control_bytes: int = 0


PROCESS_TRAFFIC = Traffic()
