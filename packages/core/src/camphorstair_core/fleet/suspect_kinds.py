"""The kinds of suspects: what may crash one endpoint after the other.

A suspect is named by a text that says its kind. Identifiers of prompt parts
have letters and digits only, so they never look like another kind.
"""

import enum

_REQUEST_PREFIX = 'request-'
_ORDER_PREFIX = 'order-'


class SuspectKind(enum.StrEnum):
    """The kind of a suspect, as logs name it."""

    request = 'request'
    prompt_part = 'prompt part'
    order = 'order'


def request(digest: str) -> str:
    """Return the suspect for all copies of a request.

    :param digest: A digest of what makes them the same.
    """
    return f'{_REQUEST_PREFIX}{digest}'


def order(kind: str, group: str) -> str:
    """Return the suspect for the orders of a kind to a rank group."""
    return f'{_ORDER_PREFIX}{kind}-{group}'


def kind_of(suspect: str) -> SuspectKind:
    """Return the kind of a suspect."""
    if suspect.startswith(_REQUEST_PREFIX):
        return SuspectKind.request
    if suspect.startswith(_ORDER_PREFIX):
        return SuspectKind.order
    return SuspectKind.prompt_part


def is_request(suspect: str) -> bool:
    """Return whether a suspect is a request."""
    return kind_of(suspect) is SuspectKind.request
