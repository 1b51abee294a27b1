"""HTTP responses to calls between entries and agents."""

import http

from camphorstair_fleet import internal_messages
from camphorstair_runtime import http_messages


def whole(message: object) -> http_messages.Response:
    """Return a 200 response with a message as msgpack."""
    headers = [('content-type', 'application/msgpack')]
    content = internal_messages.encode(message)
    return http_messages.Response(http.HTTPStatus.OK, headers, content)


def failure(status: int, error: Exception) -> http_messages.Response:
    """Return a JSON response with the text of an error."""
    return http_messages.json_response(status, {'error': str(error)})


def unknown_call(request: http_messages.Request) -> http_messages.Response:
    """Return the 404 response to a call whose path is unknown."""
    body = {'error': f'unknown path {request.path}'}
    return http_messages.json_response(http.HTTPStatus.NOT_FOUND, body)
