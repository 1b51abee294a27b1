"""Recognises a request that comes again under another attempt identifier.

Callers give each attempt an identifier of its own, so the same request is one
with the same caller, method, target and body.
"""

import hashlib

import attrs

from camphorstair_core.fleet import suspect_kinds

# Bytes of a digest.
DIGEST_BYTES = 8


@attrs.frozen
class RequestContent:
    """What makes two requests the same.

    :ivar caller: Name of the organisation that sent it, or its key.
    :ivar host: The host that it was sent to.
    :ivar method: Its method.
    :ivar target: Its path and query.
    :ivar body: Its complete body.
    """

    caller: str
    host: str
    method: str
    target: str
    body: bytes


def identity(content: RequestContent) -> str:
    """Return an identifier that all copies of a request share."""
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for text in (content.caller, content.host, content.method, content.target):
        encoded = text.encode(errors='surrogateescape')
        digest.update(b'%d:' % len(encoded))
        digest.update(encoded)
    digest.update(content.body)
    return suspect_kinds.request(digest.hexdigest())
