"""The key table: state and stored response of each keyed request.

A keyed request is a non-idempotent one with an idempotency key. The agent runs
it at most once and sends the stored response to repeats.
"""

import enum

import attrs

from camphorstair_core import keys, ownership

CAPACITY = 16384
ANSWERS_LIMIT_BYTES = 4194304


class KeyStatus(enum.StrEnum):
    """State of a keyed request according to the table.

    ``first``: the request has surely not run before and may run now.
    ``running``: an earlier request with this key is in progress.
    ``answered``: it has run, and the response is stored.
    ``unknown``: it may have run, but there is no stored response.
    ``reused``: an earlier request with this key had other content.
    ``not_owner``: this agent may not serve the key's slot now.
    ``full``: the table has no room for another key.
    """

    first = 'first'
    running = 'running'
    answered = 'answered'
    unknown = 'unknown'
    reused = 'reused'
    not_owner = 'not_owner'
    full = 'full'


@attrs.define(frozen=True)
class StoredAnswer:
    """A response that is stored to be sent again if a request is repeated."""

    status: int
    headers: list[tuple[str, str]]
    body: bytes


@attrs.define
class KeyRow:
    """State of a key whose request is running or has run.

    :ivar fingerprint: Digest of the request's method, path and body.
    :ivar deadline_s: When the row expires, in seconds since the epoch.
    :ivar done: Whether the request has ended.
    :ivar answer: The response, or None if it is incomplete or was dropped to
        limit memory.
    """

    fingerprint: str
    deadline_s: float
    done: bool = False
    answer: StoredAnswer | None = None


@attrs.define
class KeyTable:
    """The keys of all requests that an agent has run since it started.

    :ivar rows: The state of each key by digest, oldest first.
    :ivar answer_bytes: Total size of the bodies of all stored responses.
    :ivar latest_s: The latest time seen, in seconds since the epoch, used
        instead of the clock if that has been set back.
    """

    rows: dict[str, KeyRow] = attrs.field(factory=dict)
    answer_bytes: int = 0
    latest_s: float = 0


def find(
    table: KeyTable,
    request: keys.KeyedRequest,
    claims: ownership.Claims,
    now: ownership.ClockReading,
) -> KeyStatus:
    """Return the state of a keyed request.

    Expired keys are removed first; otherwise nothing changes.

    :param table: The key table.
    :param request: The request.
    :param claims: The slots of this agent.
    :param now: The current time.
    """
    _evict(table, claims, now.epoch_s)
    row = table.rows.get(request.digest)
    if row is not None:
        return _state_of_row(row, request)
    slot = ownership.servable_slot(claims, keys.slot_of(request.digest), now)
    if slot is None:
        return KeyStatus.not_owner
    if request.digest in claims.handed_over:
        return KeyStatus.unknown
    if not _surely_first(slot, request.date_s, table.latest_s):
        return KeyStatus.unknown
    if len(table.rows) >= CAPACITY:
        return KeyStatus.full
    return KeyStatus.first


def begin(table: KeyTable, request: keys.KeyedRequest, now_s: float) -> None:
    """Record that a request is running; called before it is sent.

    :param table: The key table, which is updated.
    :param request: The request.
    :param now_s: The current time, in seconds since the epoch.
    """
    created_s = request.date_s or 0
    deadline_s = max(now_s, table.latest_s, created_s) + keys.LIFETIME_S
    table.rows[request.digest] = KeyRow(request.fingerprint, deadline_s)


def end(
    table: KeyTable,
    request: keys.KeyedRequest,
    answer: StoredAnswer | None,
) -> None:
    """Record the end of a request and store its response.

    If the stored responses exceed ``ANSWERS_LIMIT_BYTES``, the oldest ones are
    dropped.

    :param table: The key table, which is updated.
    :param request: The request.
    :param answer: The response, or None if it is incomplete.
    """
    row = table.rows[request.digest]
    row.done = True
    row.answer = answer
    if answer is not None:
        table.answer_bytes += len(answer.body)
    _drop_answers(table)


def forget(table: KeyTable, request: keys.KeyedRequest) -> None:
    """Remove a request that never reached the endpoint."""
    table.rows.pop(request.digest)


def keys_of_slot(
    table: KeyTable,
    claims: ownership.Claims,
    slot: int,
) -> list[str]:
    """Return all keys of a slot whose requests may have run, sorted.

    :param table: The key table.
    :param claims: The slots of this agent.
    :param slot: Number of the slot.
    """
    digests = {*table.rows, *claims.handed_over}
    return sorted(key for key in digests if keys.slot_of(key) == slot)


def _state_of_row(row: KeyRow, request: keys.KeyedRequest) -> KeyStatus:
    if row.fingerprint != request.fingerprint:
        return KeyStatus.reused
    if not row.done:
        return KeyStatus.running
    return KeyStatus.unknown if row.answer is None else KeyStatus.answered


def _surely_first(
    slot: ownership.Slot,
    date_s: float | None,
    now_s: float,
) -> bool:
    """Return whether a key that is not in the table has surely not run.

    This holds if the slot's owner knows all keys that have not expired, or if
    the key was created after the owner became ready, by more than twice
    ``keys.CLOCK_SKEW_S``. A key whose date has expired, or lies in the future
    by more than ``keys.CLOCK_SKEW_S``, is never certain.
    """
    if date_s is not None:
        too_old = date_s <= now_s - keys.LIFETIME_S
        too_new = date_s > now_s + keys.CLOCK_SKEW_S
        if too_old or too_new:
            return False
    if slot.complete or now_s > slot.ready_s + keys.LIFETIME_S:
        return True
    created_after_s = slot.ready_s + 2 * keys.CLOCK_SKEW_S
    return date_s is not None and date_s > created_after_s


def _evict(table: KeyTable, claims: ownership.Claims, now_s: float) -> None:
    """Remove expired keys; those of running requests stay."""
    table.latest_s = max(table.latest_s, now_s)
    while table.rows:
        key, row = next(iter(table.rows.items()))
        if not row.done or row.deadline_s > table.latest_s:
            break
        _drop_answer(table, row)
        table.rows.pop(key)
    while claims.handed_over:
        key, deadline_s = next(iter(claims.handed_over.items()))
        if deadline_s > table.latest_s:
            break
        claims.handed_over.pop(key)


def _drop_answers(table: KeyTable) -> None:
    """Drop the oldest responses until the rest is within the size limit."""
    for row in table.rows.values():
        if table.answer_bytes <= ANSWERS_LIMIT_BYTES:
            return
        _drop_answer(table, row)


def _drop_answer(table: KeyTable, row: KeyRow) -> None:
    if row.answer is not None:
        table.answer_bytes -= len(row.answer.body)
        row.answer = None
