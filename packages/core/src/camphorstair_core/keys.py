"""Idempotency keys: digest, slot, creation date and request fingerprint."""

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
    """The properties of a request that ``idempotency.KeyTable`` uses.

    :ivar digest: Digest of the organisation, the service and the key.
    :ivar fingerprint: Digest of the method, the path and the body.
    :ivar date_s: When the key was created, in seconds since the epoch; None if
        the key contains no date.
    """

    digest: str
    fingerprint: str
    date_s: float | None = None


def digest(organisation: str, service: str, key: str) -> str:
    """Return the digest of a caller's key within its service.

    :param organisation: The caller's organisation.
    :param service: Name of the service.
    :param key: The idempotency key.
    """
    return _digest(organisation.encode(), service.encode(), key.encode())


def slot_of(key_digest: str) -> int:
    """Return the number of the slot that a key belongs to."""
    return int(key_digest[:_SLOT_DIGITS], _HEX) % SLOTS


def date_of(key: str) -> float | None:
    """Return the creation time that a version 7 UUID contains.

    :param key: The idempotency key.
    :returns: Seconds since the epoch, or None if the key is not such a UUID.
    """
    try:
        identifier = uuid.UUID(key)
    except ValueError:
        return None
    if identifier.version != _DATED_VERSION:
        return None
    return (identifier.int >> _DATE_SHIFT) / _MS_IN_S


def keyed(start: messages.RequestStart) -> bool:
    """Return whether a request must run at most once.

    This holds for a non-idempotent request with an idempotency key.
    """
    return bool(start.idempotency_key) and not start.idempotent


def keyed_request(start: messages.RequestStart) -> KeyedRequest:
    """Return the properties of a request that the key table needs."""
    return KeyedRequest(
        digest(start.organisation, start.service, start.idempotency_key),
        _digest(start.method.encode(), start.path.encode(), start.body),
        date_of(start.idempotency_key),
    )


def preferred_owner(service: str, slot: int, names: list[str]) -> str:
    """Return the endpoint that should own a slot, by rendezvous hashing.

    :param service: Name of the service.
    :param slot: Number of the slot.
    :param names: Endpoints of the service that accept new requests.
    :returns: Name of the endpoint; empty if there is none.
    """
    chosen = vms.rendezvous(f'keys {service} {slot}', names, 1)
    return chosen[0] if chosen else ''


def _digest(*parts: bytes) -> str:
    """Return a digest in which the length of each part is included."""
    hashed = hashlib.blake2b(digest_size=_DIGEST_BYTES)
    for part in parts:
        hashed.update(b'%d:' % len(part))
        hashed.update(part)
    return hashed.hexdigest()
