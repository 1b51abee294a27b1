"""Answers of the calls between entries and agents."""

import http

from camphorstair_fleet import internal_messages
from camphorstair_runtime import http_messages


def whole(message: object) -> http_messages.Response:
    """Return the answer that holds a message."""
    headers = [('content-type', 'application/msgpack')]
    content = internal_messages.encode(message)
    return http_messages.Response(http.HTTPStatus.OK, headers, content)


def failure(status: int, error: Exception) -> http_messages.Response:
    """Return the answer to a call that failed."""
    return http_messages.json_response(status, {'error': str(error)})


def unknown_call(request: http_messages.Request) -> http_messages.Response:
    """Return the answer to a call that is none of the published ones."""
    body = {'error': f'no call {request.path}'}
    return http_messages.json_response(http.HTTPStatus.NOT_FOUND, body)
