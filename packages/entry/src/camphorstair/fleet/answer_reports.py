"""Records what an endpoint says of itself in its answers."""

import http
import logging

from camphorstair_core.fleet import endpoint_terms, placement
from camphorstair_platform import headers
from camphorstair_runtime import clocks

_LOG = logging.getLogger(__name__)


def record_terms(
    candidate: placement.Candidate,
    answer: headers.AnswerHeaders,
) -> None:
    """Record the terms on which an endpoint takes requests from now on.

    An answer of another process at the address says nothing of the endpoint.
    """
    if answer.status == http.HTTPStatus.MISDIRECTED_REQUEST:
        return
    statement = answer.statement
    endpoint = candidate.endpoint.registration.endpoint
    if statement.unreadable:
        _LOG.warning(
            'statement of an endpoint is unreadable: %s',
            ', '.join(statement.unreadable),
            extra={'endpoint': endpoint},
        )
    terms = candidate.terms
    now_s = clocks.monotonic_s()
    if endpoint_terms.record(terms, statement, candidate.sharing(), now_s):
        _LOG.info(
            'terms of an endpoint have changed',
            extra={
                'endpoint': endpoint,
                'leaving': terms.leaving,
                'hold_s': round(max(0, terms.resume_s - now_s), 2),
                'per_s': terms.limit.per_s,
                'next_send_s': round(terms.limit.next_send_s - now_s, 2),
                'request': answer.attempt,
            },
        )
