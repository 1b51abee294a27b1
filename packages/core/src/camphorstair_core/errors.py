"""Request errors with a stable code, a verdict and a retry delay.

The verdict says whether the request may have run. Some statuses promise the
caller that it has not run and never will.
"""

import http

import attrs

from camphorstair_core import verdicts

_NOT_RUN_STATUSES = frozenset(
    (
        http.HTTPStatus.REQUEST_TIMEOUT,
        http.HTTPStatus.MISDIRECTED_REQUEST,
        http.HTTPStatus.TOO_MANY_REQUESTS,
        http.HTTPStatus.SERVICE_UNAVAILABLE,
    ),
)


@attrs.define(frozen=True)
class ErrorCode:
    """A stable error code and the HTTP status that it is sent with."""

    name: str
    status: int


bad_request = ErrorCode('bad_request', http.HTTPStatus.BAD_REQUEST)
too_large = ErrorCode('too_large', http.HTTPStatus.REQUEST_ENTITY_TOO_LARGE)
head_too_large = ErrorCode(
    'head_too_large',
    http.HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE,
)
timeout = ErrorCode('request_timeout', http.HTTPStatus.REQUEST_TIMEOUT)
connection_closing = ErrorCode(
    'connection_closing',
    http.HTTPStatus.REQUEST_TIMEOUT,
)
unauthorized = ErrorCode('unauthorized', http.HTTPStatus.UNAUTHORIZED)
unknown_organisation = ErrorCode(
    'unknown_organisation',
    http.HTTPStatus.FORBIDDEN,
)
unknown_path = ErrorCode('unknown_path', http.HTTPStatus.NOT_FOUND)
unknown_model = ErrorCode('unknown_model', http.HTTPStatus.NOT_FOUND)
organisation_limit = ErrorCode(
    'organisation_limit',
    http.HTTPStatus.TOO_MANY_REQUESTS,
)
overloaded = ErrorCode('overloaded', http.HTTPStatus.SERVICE_UNAVAILABLE)
no_endpoint = ErrorCode('no_endpoint', http.HTTPStatus.SERVICE_UNAVAILABLE)
prompt_quarantined = ErrorCode(
    'prompt_quarantined',
    http.HTTPStatus.SERVICE_UNAVAILABLE,
)
request_quarantined = ErrorCode(
    'request_quarantined',
    http.HTTPStatus.SERVICE_UNAVAILABLE,
)
no_configuration = ErrorCode(
    'no_configuration',
    http.HTTPStatus.SERVICE_UNAVAILABLE,
)
leaving = ErrorCode('leaving', http.HTTPStatus.SERVICE_UNAVAILABLE)
endpoint_failed = ErrorCode('endpoint_failed', http.HTTPStatus.BAD_GATEWAY)
answer_broken = ErrorCode('answer_broken', http.HTTPStatus.BAD_GATEWAY)
deadline_exceeded = ErrorCode(
    'deadline_exceeded',
    http.HTTPStatus.GATEWAY_TIMEOUT,
)
not_owner = ErrorCode('not_owner', http.HTTPStatus.SERVICE_UNAVAILABLE)
key_reused = ErrorCode('key_reused', http.HTTPStatus.UNPROCESSABLE_ENTITY)
may_have_run = ErrorCode('may_have_run', http.HTTPStatus.BAD_GATEWAY)
internal_error = ErrorCode(
    'internal_error',
    http.HTTPStatus.INTERNAL_SERVER_ERROR,
)


@attrs.define
class RequestError(Exception):
    """A request that failed without a response from an endpoint.

    :ivar code: The stable code and its HTTP status.
    :ivar message: Description of the error, with the offending value.
    :ivar verdict: Whether the request may have run.
    :ivar retry_after_s: Delay before a retry; None if a retry does not help.
    :ivar key_unknown: Whether it is unknown if an earlier request with the
        same idempotency key has run.
    :ivar owner: Name of the endpoint that owns the key, if the endpoint that
        refused the request named it; otherwise empty.
    """

    code: ErrorCode
    message: str
    verdict: verdicts.Verdict = verdicts.Verdict.not_run
    retry_after_s: float | None = None
    key_unknown: bool = False
    owner: str = ''

    def __str__(self) -> str:
        """Return the code and the message."""
        return f'{self.code.name}: {self.message}'


def promises_not_run(status: int) -> bool:
    """Return whether a status promises that the request has not run."""
    return status in _NOT_RUN_STATUSES


def status_of(error: RequestError) -> int:
    """Return the HTTP status that a caller receives for an error.

    A status that promises that the request has not run is replaced by 502 if
    it may have run.
    """
    status = error.code.status
    if error.verdict is verdicts.Verdict.not_run:
        return status
    return http.HTTPStatus.BAD_GATEWAY if promises_not_run(status) else status
