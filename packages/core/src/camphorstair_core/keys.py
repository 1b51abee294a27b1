"""Idempotency keys: their digest, slot, date and the request they stand for."""

import hashlib
import uuid

import attrs

from camphorstair_core import messages, vms

SLOTS = 64
LIFETIME_S = 3600.0
CLOCK_SKEW_S = 5.0

_DIGEST_BYTES = 16
_SLOT_DIGITS = 8
_HEX = 16
_DATED_VERSION = 7
_DATE_SHIFT = 80
_MS_IN_S = 1000


@attrs.define(frozen=True)
class KeyedRequest:
    """A request with an idempotency key, as the key table sees it.

    :ivar digest: Digest of the organisation, the service and the key.
    :ivar fingerprint: Digest of what is asked for.
    :ivar date_s: When the key was made, if it tells; seconds since the epoch.
    """

    digest: str
    fingerprint: str
    date_s: float | None = None


def digest(organisation: str, service: str, key: str) -> str:
    """Return the digest that stands for a caller's key."""
    return _digest(organisation.encode(), service.encode(), key.encode())


def slot_of(key_digest: str) -> int:
    """Return the slot that a key belongs to."""
    return int(key_digest[:_SLOT_DIGITS], _HEX) % SLOTS


def date_of(key: str) -> float | None:
    """Return when a key was made, if it is a UUID of version 7."""
    try:
        identifier = uuid.UUID(key)
    except ValueError:
        return None
    if identifier.version != _DATED_VERSION:
        return None
    return (identifier.int >> _DATE_SHIFT) / _MS_IN_S


def keyed(start: messages.RequestStart) -> bool:
    """Tell whether a request has to run at most once by its key."""
    return bool(start.idempotency_key) and not start.idempotent


def keyed_request(start: messages.RequestStart) -> KeyedRequest:
    """Return what the key table has to know of a request."""
    return KeyedRequest(
        digest(start.organisation, start.service, start.idempotency_key),
        _digest(start.method.encode(), start.path.encode(), start.body),
        date_of(start.idempotency_key),
    )


def preferred_owner(service: str, slot: int, names: list[str]) -> str:
    """Return the endpoint that should own a slot; empty if there is none.

    :param service: The service.
    :param slot: Number of the slot.
    :param names: Endpoints of the service that take new work.
    """
    chosen = vms.rendezvous(f'keys {service} {slot}', names, 1)
    return chosen[0] if chosen else ''


def _digest(*parts: bytes) -> str:
    hashed = hashlib.blake2b(digest_size=_DIGEST_BYTES)
    for part in parts:
        hashed.update(b'%d:' % len(part))
        hashed.update(part)
    return hashed.hexdigest()
