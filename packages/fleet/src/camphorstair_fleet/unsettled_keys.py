"""Asks entries for the keys that are unsettled since the store's return."""

import http
import logging

import curio

from camphorstair_core.fleet import store_copy
from camphorstair_fleet import copy_messages, internal_messages
from camphorstair_runtime import (
    http_client,
    http_messages,
    persistent_connection,
)

CONNECT_LIMIT_S = 0.3
# Longest wait for a reply; an entry may still have to read the era.
ASK_LIMIT_S = 1.0

_LOG = logging.getLogger(__name__)

Keys = tuple[store_copy.UnsettledKey, ...]


async def ask(era: int, peers: list[str]) -> Keys | None:
    """Return the unsettled keys of the first entry that knows them all.

    :param era: The era of the store that this process has read.
    :param peers: The internal addresses of entries.
    :returns: None if no entry that has read the era and knows them replies in
        time.
    """
    replies: list[Keys] = []
    replied = curio.Event()

    async def ask_one(address: str) -> None:
        reply = await _call(era, address)
        if reply is not None and reply.era == era and reply.informed:
            replies.append(reply.keys)
            await replied.set()

    async def ask_all() -> None:
        async with curio.TaskGroup() as group:
            for address in peers:
                await group.spawn(ask_one, address)

    async with curio.TaskGroup(wait=any) as group:
        await group.spawn(ask_all)
        await group.spawn(replied.wait)
    keys = replies[0] if replies else None
    _LOG.info(
        'entries asked for unsettled keys',
        extra={
            'era': era,
            'peers': len(peers),
            'replies': len(replies),
            'unsettled': len(keys or ()),
        },
    )
    return keys


async def _call(era: int, address: str) -> copy_messages.UnsettledReply | None:
    """Return the reply of an entry; None if it has none."""
    connection = persistent_connection.PersistentConnection(
        address, CONNECT_LIMIT_S
    )
    request = http_messages.Request(
        'POST',
        copy_messages.UNSETTLED_PATH,
        [],
        internal_messages.encode(copy_messages.UnsettledCall(era)),
    )
    try:
        answer = await connection.fetch(request, ASK_LIMIT_S)
        if answer.status == http.HTTPStatus.OK:
            return internal_messages.decode(
                answer.body, copy_messages.UnsettledReply
            )
        _LOG.info('entry %s: status %s', address, answer.status)
    except (http_client.HttpError, internal_messages.MessageError) as error:
        _LOG.info('entry %s: %s', address, error)
    finally:
        await connection.close()
    return None
