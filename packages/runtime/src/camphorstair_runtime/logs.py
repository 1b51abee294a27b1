"""Logging to standard error as JSON, one object per line."""

import datetime
import logging
import sys

import msgspec

_STANDARD_ATTRIBUTES = frozenset(logging.makeLogRecord({}).__dict__)
_ENCODER = msgspec.json.Encoder()


class JsonFormatter(logging.Formatter):
    """Formats a record as JSON, including the fields given as ``extra``."""

    def __init__(self, node: str) -> None:
        """Set the node's name, which is a field of each line."""
        super().__init__()
        self._node = node

    def format(self, record: logging.LogRecord) -> str:
        """Return the JSON object of a record."""
        created_at = datetime.datetime.fromtimestamp(
            record.created, datetime.UTC
        )
        fields = {
            'time': created_at.isoformat(timespec='milliseconds'),
            'level': record.levelname,
            'node': self._node,
            'logger': record.name,
            'message': record.getMessage(),
        }
        for name, value in record.__dict__.items():
            if name not in _STANDARD_ATTRIBUTES:
                fields[name] = value
        if record.exc_info:
            fields['exception'] = self.formatException(record.exc_info)
        return _ENCODER.encode(fields).decode()


def set_up(node: str, level: str) -> None:
    """Send all logs to standard error as JSON.

    :param node: The node's name, a field of each line.
    :param level: The lowest level that is logged.
    """
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(JsonFormatter(node))
    logging.basicConfig(level=level, handlers=[handler], force=True)
