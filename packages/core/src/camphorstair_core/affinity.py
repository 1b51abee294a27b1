"""Sends requests with the same prefix to the same endpoint.

Hints about caches come late and with gaps and may be wrong, so they only
choose among endpoints that the load allows anyway.
"""

import collections
import hashlib

import attrs
import msgspec

from camphorstair_core import endpoints

PREFIX_BYTES = 1024
LOAD_BOUND = 1.25
SLACK = 0.25
MOST_HINTS = 4096
HINT_LIFETIME_S = 300.0
_KEY_BYTES = 8
_MULTIPLIER = 0x9E3779B97F4A7C15
_SHIFT = 32
_MASK = 0xFFFFFFFFFFFFFFFF


@attrs.define
class Hint:
    """Where a prefix is thought to be cached.

    :ivar endpoint: Name of the endpoint.
    :ivar deadline_s: Until when the hint counts.
    """

    endpoint: str
    deadline_s: float


@attrs.define
class CacheHints:
    """Hints by prefix, the oldest first."""

    rows: collections.OrderedDict[int, Hint] = attrs.field(
        factory=collections.OrderedDict,
    )


@attrs.define
class _Prompt:
    messages: list[msgspec.Raw]


def prefix_key(body: bytes) -> int:
    """Return a number for the first part of a prompt; 0 if there is none.

    :param body: Body of a chat completion request.
    """
    try:
        prompt = msgspec.json.decode(body, type=_Prompt)
    except (msgspec.DecodeError, UnicodeDecodeError):
        return 0
    if not prompt.messages:
        return 0
    first = bytes(prompt.messages[0])[:PREFIX_BYTES]
    digest = hashlib.blake2b(first, digest_size=_KEY_BYTES)
    return int.from_bytes(digest.digest())


def note_cached(
    hints: CacheHints,
    key: int,
    endpoint: str,
    now_s: float,
) -> None:
    """Note that an endpoint has a prefix, as it or its answer says."""
    hints.rows[key] = Hint(endpoint, now_s + HINT_LIFETIME_S)
    hints.rows.move_to_end(key)
    while len(hints.rows) > MOST_HINTS:
        hints.rows.popitem(last=False)


def note_evicted(hints: CacheHints, key: int, endpoint: str) -> None:
    """Note that an endpoint no longer has a prefix."""
    hint = hints.rows.get(key)
    if hint is not None and hint.endpoint == endpoint:
        hints.rows.pop(key)


def preferred(
    hints: CacheHints,
    key: int,
    candidates: list[endpoints.Candidate],
    now_s: float,
) -> endpoints.Endpoint | None:
    """Return the endpoint for a prefix, if the load allows one.

    :param hints: Where prefixes are thought to be cached.
    :param key: The prefix.
    :param candidates: Endpoints that may be chosen.
    :param now_s: The time.
    """
    total = sum([one.pressure for one in candidates])
    bound = min(1, total / len(candidates) * LOAD_BOUND + SLACK)
    allowed = [one.row for one in candidates if one.pressure <= bound]
    hint = hints.rows.get(key)
    if hint is not None and now_s < hint.deadline_s:
        hinted = [row for row in allowed if row.vm.name == hint.endpoint]
        if hinted:
            return hinted[0]
    weights = [weight(key, row.seed) for row in allowed]
    return allowed[weights.index(max(weights))] if allowed else None


def weight(key: int, seed: int) -> int:
    """Return the weight of an endpoint for a prefix, without hashing text."""
    mixed = (key ^ seed) * _MULTIPLIER & _MASK
    mixed = (mixed ^ mixed >> _SHIFT) * _MULTIPLIER & _MASK
    return mixed ^ mixed >> _SHIFT
