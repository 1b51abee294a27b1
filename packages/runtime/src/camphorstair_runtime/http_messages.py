"""HTTP requests and responses, independent of the connection."""

import attrs
import msgspec

from camphorstair_core import errors

HeaderList = list[tuple[str, str]]

_HOP_BY_HOP = frozenset(
    (
        'connection',
        'keep-alive',
        'proxy-authenticate',
        'proxy-authorization',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
        'host',
        'content-length',
        'expect',
    ),
)


@attrs.define
class Request:
    """A request with its complete body.

    :ivar method: The method as sent.
    :ivar target: Path and query as sent.
    :ivar headers: Headers with lower-case names.
    :ivar body: The complete body; empty if there is none.
    """

    method: str
    target: str
    headers: HeaderList
    body: bytes

    @property
    def path(self) -> str:
        """The path without the query."""
        return self.target.partition('?')[0]

    def header(self, name: str) -> str:
        """Return the first value of a header, or an empty string."""
        return header(self.headers, name)


@attrs.define
class Response:
    """A response with its complete body."""

    status: int
    headers: HeaderList
    body: bytes


def header(headers: HeaderList, name: str) -> str:
    """Return the first value of a header, or an empty string.

    :param headers: Headers with lower-case names.
    :param name: The name in lower case.
    """
    for key, value in headers:
        if key == name:
            return value
    return ''


def end_to_end(headers: HeaderList) -> HeaderList:
    """Return the headers without hop-by-hop, host and length headers."""
    return [pair for pair in headers if pair[0] not in _HOP_BY_HOP]


def encoded(headers: HeaderList) -> list[tuple[bytes, bytes]]:
    """Return headers as the bytes that they are sent with.

    Received values may have any bytes over 127; they are decoded as Latin-1,
    so that each byte is one character.

    :raises UnicodeEncodeError: if a header has a character beyond Latin-1.
    """
    return [
        (name.encode('ascii'), text.encode('latin-1')) for name, text in headers
    ]


def header_text(text: str) -> str:
    """Return a text of any characters as a header value, in UTF-8."""
    return text.encode().decode('latin-1')


def text_of_header(header_value: str) -> str:
    """Return the text that a received header value holds in UTF-8.

    A value that is not UTF-8 is returned as it is.
    """
    try:
        return header_value.encode('latin-1').decode()
    except UnicodeError:
        return header_value


def json_response(status: int, payload: object) -> Response:
    """Return a response with a JSON body."""
    headers = [('content-type', 'application/json')]
    return Response(status, headers, msgspec.json.encode(payload))


@attrs.define(frozen=True)
class ErrorBody:
    """An error in the format that model clients expect.

    :ivar code: Name of the error code.
    :ivar message: Description for people.
    :ivar verdict: Whether the request ran, may have run or did not run.
    :ivar type: Constant that marks errors of this product.
    """

    code: str
    message: str
    verdict: str
    type: str = 'camphorstair_error'


@attrs.define(frozen=True)
class ErrorEnvelope:
    """JSON body of an error response."""

    error: ErrorBody


def envelope(error: errors.RequestError) -> ErrorEnvelope:
    """Return the JSON body that describes an error."""
    return ErrorEnvelope(
        ErrorBody(error.code.name, error.message, error.verdict.value),
    )


def error_response(error: errors.RequestError) -> Response:
    """Return the response that reports an error to a caller."""
    response = json_response(errors.status_of(error), envelope(error))
    response.headers.append(('x-camphorstair-verdict', error.verdict.value))
    if error.retry_after_s is not None:
        seconds = max(1, round(error.retry_after_s))
        response.headers.append(('retry-after', str(seconds)))
    return response
