"""Bounds of a message body that is kept in memory."""

import attrs

# Parts of a body that are shorter than this are counted. Each part costs more
# time than its bytes do.
SMALL_PART_BYTES = 64
MAX_SMALL_PARTS = 16384


class BodyTooLargeError(Exception):
    """A body has more bytes or more small parts than are accepted."""


@attrs.define
class BodyBound:
    """Counts what has come of one body.

    :ivar limit_bytes: Largest size of the body.
    :ivar size_bytes: Bytes that have come.
    :ivar small_parts: Parts shorter than ``SMALL_PART_BYTES`` that have come.
    """

    limit_bytes: int
    size_bytes: int = 0
    small_parts: int = 0

    def count(self, part_bytes: int) -> None:
        """Count the next part.

        :raises BodyTooLargeError: if the body is too large with it.
        """
        self.size_bytes += part_bytes
        self.small_parts += part_bytes < SMALL_PART_BYTES
        if self.size_bytes > self.limit_bytes:
            raise BodyTooLargeError(
                f'the body is longer than {self.limit_bytes} bytes'
            )
        if self.small_parts > MAX_SMALL_PARTS:
            raise BodyTooLargeError(
                f'the body comes in more than {MAX_SMALL_PARTS} small parts'
            )
