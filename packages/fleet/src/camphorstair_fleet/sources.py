"""Where a process reads the store's content from: the store or an entry.

A source is a function that takes the position of a copy and returns what the
copy lacks. Each of the store's calls is counted, so only a few entries of a
data centre read from the store itself; the others and the agents follow one of
these over the fleet's own connections.
"""

import http
import logging
from collections import abc

import attrs
import curio

from camphorstair_core.fleet import store_copy
from camphorstair_fleet import copy_messages, internal_messages
from camphorstair_platform import configuration, store, store_errors
from camphorstair_runtime import (
    clocks,
    http_client,
    http_messages,
    persistent_connection,
)

ALL_KEYS = ''
# Longest time that a watch waits for changes.
WATCH_WAIT_S = 1.6
# A store that is about to lose its history may withhold changes from watches
# for this long.
WATCH_DELAY_LIMIT_S = 1.0
# Wait of a watch during an outage: short, so that the store answers at once
# when it is back.
SHORT_WAIT_S = 0.001
# Time for the reply of an entry, which replies once per round of its own.
PEER_SLACK_S = 0.3
PEER_LIMIT_S = WATCH_WAIT_S + PEER_SLACK_S
# Longest value that is kept; only a configuration is longer.
MAX_VALUE_BYTES = 262_144
# Interval between reads of all keys from the store without a watch.
POLL_INTERVAL_S = 2.0


_LOG = logging.getLogger(__name__)


class PeerError(Exception):
    """Raised when an entry does not tell what it knows of the store."""


@attrs.frozen
class Position:
    """Up to where a process has read the store's content.

    :ivar era: Era of the store.
    :ivar revision: Revision up to which all changes were read; None if all keys
        have to be read.
    :ivar in_outage: Whether the last call failed.
    """

    era: int
    revision: int | None
    in_outage: bool


@attrs.frozen
class Fetched:
    """What a source returned.

    :ivar update: All keys or the latest changes.
    :ivar confirmed_s: As of when the content is surely current; on the clock
        that also runs while the VM is suspended.
    """

    update: store_copy.Update
    confirmed_s: float


Source = abc.Callable[[Position], abc.Awaitable[Fetched]]


def store_source(
    client: store.StoreClient, prefixes: tuple[str, ...]
) -> Source:
    """Return a source that reads all keys once and then watches the store.

    :param client: Client of the store.
    :param prefixes: Prefixes of the keys to read.
    """

    async def fetch(position: Position) -> Fetched:
        sent_s = clocks.boottime_s()
        if position.revision is None:
            return Fetched(await _scan(client, prefixes), sent_s)
        wait_s = SHORT_WAIT_S if position.in_outage else WATCH_WAIT_S
        changes = await client.watch(ALL_KEYS, position.revision, wait_s)
        if not changes.rows and clocks.boottime_s() - sent_s >= wait_s:
            # The store waited without a change, so the content is confirmed up
            # to the end of the wait, less the time it may withhold changes.
            sent_s += max(0, wait_s - WATCH_DELAY_LIMIT_S)
        rows = tuple(
            _bounded(row)
            for row in changes.rows
            if row.key.startswith(prefixes)
        )
        update = store_copy.Update(
            changes.era, changes.revision, rows, whole=False
        )
        return Fetched(update, sent_s)

    return fetch


def polled_source(
    client: store.StoreClient, prefixes: tuple[str, ...]
) -> Source:
    """Return a source that reads all keys from the store from time to time.

    The keys may be some seconds old; such reads cost the store a tenth.
    """

    async def fetch(position: Position) -> Fetched:
        if position.revision is not None or position.in_outage:
            await curio.sleep(POLL_INTERVAL_S)
        update = await _scan(client, prefixes, stale=True)
        return Fetched(update, float('-inf'))

    return fetch


def peer_source(
    connection: persistent_connection.PersistentConnection,
    prefixes: tuple[str, ...],
) -> Source:
    """Return a source that follows the copy of an entry.

    :param connection: Connection to the entry's internal address.
    :param prefixes: Prefixes of the keys to read.
    """

    async def fetch(position: Position) -> Fetched:
        call = copy_messages.CopyCall(
            position.era, position.revision or 0, prefixes
        )
        request = http_messages.Request(
            'POST',
            copy_messages.COPY_PATH,
            [],
            internal_messages.encode(call),
        )
        sent_s = clocks.boottime_s()
        reply = await _call_peer(connection, request)
        # The entry's clock differs, so its reply holds durations.
        confirmed_s = sent_s + reply.held_s - reply.age_s
        return Fetched(reply.update, confirmed_s)

    return fetch


async def _call_peer(
    connection: persistent_connection.PersistentConnection,
    request: http_messages.Request,
) -> copy_messages.CopyReply:
    """Return the reply of an entry.

    :raises PeerError: if it has none.
    """
    try:
        answer = await connection.fetch(request, PEER_LIMIT_S)
        if answer.status == http.HTTPStatus.OK:
            return internal_messages.decode(
                answer.body, copy_messages.CopyReply
            )
        reason = f'status {answer.status}'
    except (http_client.HttpError, internal_messages.MessageError) as error:
        reason = str(error)
    raise PeerError(f'entry {connection.address}: {reason}')


async def _scan(
    client: store.StoreClient,
    prefixes: tuple[str, ...],
    *,
    stale: bool = False,
) -> store_copy.Update:
    """Read all keys.

    :raises store_errors.HistoryLostError: if the era of the store changes meanwhile.
    """
    listings = [await client.scan(prefix, stale=stale) for prefix in prefixes]
    eras = {listing.era for listing in listings}
    if len(eras) > 1:
        raise store_errors.HistoryLostError(
            'the era changed while keys were read',
            possibly_applied=False,
            answered=True,
        )
    return store_copy.Update(
        eras.pop(),
        min(listing.revision for listing in listings),
        tuple(_bounded(row) for listing in listings for row in listing.rows),
        whole=True,
    )


def _bounded(row: store_copy.Item) -> store_copy.Item:
    """Return a key without its value if that is too long to be of use."""
    size_bytes = len(row.content or b'')
    if (
        size_bytes <= MAX_VALUE_BYTES
        or row.key == configuration.CONFIGURATION_KEY
    ):
        return row
    _LOG.warning('value of %s left out: %d bytes', row.key, size_bytes)
    return attrs.evolve(row, content=b'')
