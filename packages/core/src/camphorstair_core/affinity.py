"""Prefix affinity: routes prompts with the same prefix to the same endpoint.

Hints about cached prefixes may be late, incomplete or wrong, so they are used
only to choose among endpoints whose load is within bounds.
"""

import collections
import hashlib

import attrs
import msgspec

from camphorstair_core import decoding, endpoints

PREFIX_BYTES = 1024
LOAD_BOUND = 1.25
SLACK = 0.25
MAX_HINTS = 4096
HINT_LIFETIME_S = 300.0
_KEY_BYTES = 8
_MULTIPLIER = 0x9E3779B97F4A7C15
_SHIFT = 32
_MASK = 0xFFFFFFFFFFFFFFFF


@attrs.define
class Hint:
    """The endpoint that probably has a prefix in its cache.

    :ivar endpoint: Name of the endpoint.
    :ivar deadline_s: Time at which the hint expires.
    """

    endpoint: str
    deadline_s: float


@attrs.define
class CacheHints:
    """The most recent hint of each prefix.

    :ivar rows: Hints by prefix key, the least recently updated one first.
    """

    rows: collections.OrderedDict[int, Hint] = attrs.field(
        factory=collections.OrderedDict,
    )


@attrs.define
class _Prompt:
    messages: list[msgspec.Raw]


def prefix_key(body: bytes) -> int:
    """Return a hash of the start of a prompt.

    Only the first ``PREFIX_BYTES`` of the first message are hashed.

    :param body: Body of a chat completion request.
    :returns: The hash, or 0 if the body can't be decoded or holds no messages.
    """
    try:
        prompt = decoding.from_json(body, _Prompt)
    except decoding.FormatError:
        return 0
    if not prompt.messages:
        return 0
    first = bytes(prompt.messages[0])[:PREFIX_BYTES]
    digest = hashlib.blake2b(first, digest_size=_KEY_BYTES)
    return int.from_bytes(digest.digest())


def record_cached(
    hints: CacheHints,
    key: int,
    endpoint: str,
    now_s: float,
) -> None:
    """Record that an endpoint has cached a prefix.

    Removes the oldest hints if there are more than the table may hold.

    :param hints: The table of hints, which is updated.
    :param key: The prefix key.
    :param endpoint: Name of the endpoint.
    :param now_s: The current time.
    """
    hints.rows[key] = Hint(endpoint, now_s + HINT_LIFETIME_S)
    hints.rows.move_to_end(key)
    while len(hints.rows) > MAX_HINTS:
        hints.rows.popitem(last=False)


def record_evicted(hints: CacheHints, key: int, endpoint: str) -> None:
    """Remove the hint for a prefix if it names this endpoint."""
    hint = hints.rows.get(key)
    if hint is not None and hint.endpoint == endpoint:
        hints.rows.pop(key)


def preferred_endpoint(
    hints: CacheHints,
    key: int,
    candidates: list[endpoints.Candidate],
    now_s: float,
) -> endpoints.Endpoint | None:
    """Return the preferred endpoint for a prefix.

    This is the hinted endpoint, if there is one, or else the one with the
    highest rendezvous hash. Candidates whose pressure exceeds the mean by too
    much are excluded.

    :param hints: The table of hints.
    :param key: The prefix key.
    :param candidates: Endpoints that may be chosen; at least one.
    :param now_s: The current time.
    :returns: The endpoint, or None if all candidates are excluded.
    """
    total_pressure = sum([candidate.pressure for candidate in candidates])
    bound = min(1, total_pressure / len(candidates) * LOAD_BOUND + SLACK)
    allowed = [
        candidate.row for candidate in candidates if candidate.pressure <= bound
    ]
    hint = hints.rows.get(key)
    if hint is not None and now_s < hint.deadline_s:
        hinted = [row for row in allowed if row.vm.name == hint.endpoint]
        if hinted:
            return hinted[0]
    weights = [weight(key, row.seed) for row in allowed]
    return allowed[weights.index(max(weights))] if allowed else None


def weight(key: int, seed: int) -> int:
    """Return the rendezvous weight of an endpoint for a prefix.

    Mixes two integers, which is faster than hashing text for each request.

    :param key: The prefix key.
    :param seed: Hash of the endpoint's name.
    """
    mixed = (key ^ seed) * _MULTIPLIER & _MASK
    mixed = (mixed ^ mixed >> _SHIFT) * _MULTIPLIER & _MASK
    return mixed ^ mixed >> _SHIFT
