"""The key table: what became of each non-idempotent request with a key."""

import enum

import attrs

from camphorstair_core import keys, ownership

CAPACITY = 16384
ANSWERS_LIMIT_BYTES = 4194304


class Finding(enum.StrEnum):
    """What the table tells of a request."""

    first = 'first'
    running = 'running'
    answered = 'answered'
    unknown = 'unknown'
    reused = 'reused'
    not_owner = 'not_owner'
    full = 'full'


@attrs.define(frozen=True)
class StoredAnswer:
    """An answer that repeats of a request get."""

    status: int
    headers: list[tuple[str, str]]
    body: bytes


@attrs.define
class KeyRow:
    """A key that was run.

    :ivar fingerprint: Digest of what was asked for.
    :ivar deadline_s: Until when the row is kept; seconds since the epoch.
    :ivar done: Whether the run has ended.
    :ivar answer: Its answer, if it came whole and is still kept.
    """

    fingerprint: str
    deadline_s: float
    done: bool = False
    answer: StoredAnswer | None = None


@attrs.define
class KeyTable:
    """The keys that an agent has run since its start.

    :ivar rows: The keys by digest, oldest first.
    :ivar answer_bytes: Size of the bodies of all answers kept.
    :ivar latest_s: The latest time seen; a clock that is set back is ignored.
    """

    rows: dict[str, KeyRow] = attrs.field(factory=dict)
    answer_bytes: int = 0
    latest_s: float = 0


def find(
    table: KeyTable,
    request: keys.KeyedRequest,
    claims: ownership.Claims,
    now: ownership.Moment,
) -> Finding:
    """Tell what is known of a request; nothing is changed but by age.

    :param table: The table.
    :param request: The request.
    :param claims: The slots of this agent.
    :param now: The time.
    """
    _evict(table, claims, now.epoch_s)
    row = table.rows.get(request.digest)
    if row is not None:
        return _find_row(row, request)
    slot = ownership.held(claims, keys.slot_of(request.digest), now)
    if slot is None:
        return Finding.not_owner
    if request.digest in claims.handed_over:
        return Finding.unknown
    if not _surely_first(slot, request.date_s, table.latest_s):
        return Finding.unknown
    if len(table.rows) >= CAPACITY:
        return Finding.full
    return Finding.first


def begin(table: KeyTable, request: keys.KeyedRequest, now_s: float) -> None:
    """Record that a request runs, before it is sent."""
    dated_s = request.date_s or 0
    deadline_s = max(now_s, table.latest_s, dated_s) + keys.LIFETIME_S
    table.rows[request.digest] = KeyRow(request.fingerprint, deadline_s)


def end(
    table: KeyTable,
    request: keys.KeyedRequest,
    answer: StoredAnswer | None,
) -> None:
    """Record the end of a run, with its answer if that came whole."""
    row = table.rows[request.digest]
    row.done = True
    row.answer = answer
    if answer is not None:
        table.answer_bytes += len(answer.body)
    _drop_answers(table)


def forget(table: KeyTable, request: keys.KeyedRequest) -> None:
    """Remove a request of which nothing reached the endpoint."""
    table.rows.pop(request.digest)


def keys_of_slot(
    table: KeyTable,
    claims: ownership.Claims,
    slot: int,
) -> list[str]:
    """Return all keys of a slot that may have run."""
    known = {*table.rows, *claims.handed_over}
    return sorted(key for key in known if keys.slot_of(key) == slot)


def _find_row(row: KeyRow, request: keys.KeyedRequest) -> Finding:
    if row.fingerprint != request.fingerprint:
        return Finding.reused
    if not row.done:
        return Finding.running
    return Finding.unknown if row.answer is None else Finding.answered


def _surely_first(
    slot: ownership.Slot,
    date_s: float | None,
    now_s: float,
) -> bool:
    if date_s is not None:
        too_old = date_s <= now_s - keys.LIFETIME_S
        too_new = date_s > now_s + keys.CLOCK_SKEW_S
        if too_old or too_new:
            return False
    if slot.complete or now_s > slot.ready_s + keys.LIFETIME_S:
        return True
    made_after_s = slot.ready_s + 2 * keys.CLOCK_SKEW_S
    return date_s is not None and date_s > made_after_s


def _evict(table: KeyTable, claims: ownership.Claims, now_s: float) -> None:
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
    for row in table.rows.values():
        if table.answer_bytes <= ANSWERS_LIMIT_BYTES:
            return
        _drop_answer(table, row)


def _drop_answer(table: KeyTable, row: KeyRow) -> None:
    if row.answer is not None:
        table.answer_bytes -= len(row.answer.body)
        row.answer = None
