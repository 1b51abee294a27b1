"""Single calls to a member of the platform's key-value service."""

import http

import attrs
import curio
import msgspec

from camphorstair_runtime import (
    http_client,
    http_messages,
    platform_messages,
)

CALL_LIMIT_S = 2.0


class PlatformError(Exception):
    """The platform did not answer; a write may have taken effect.

    :ivar sent: Whether the platform may have received the call.
    """

    def __init__(self, message: str, *, sent: bool = True) -> None:
        """Keep the message and whether the call was sent."""
        super().__init__(message)
        self.sent = sent


@attrs.define
class Session:
    """A connection to one member for several calls.

    While it lasts, the member has not restarted, so what was read on it is
    no older copy of what is written on it.

    :ivar address: ``IP:port`` of the member.
    :ivar exchange: The last call, or None before the first.
    :ivar broken: Whether it has ended.
    """

    address: str
    exchange: http_client.Exchange | None = None
    broken: bool = False


async def call(
    address: str,
    target: str,
    payload: platform_messages.Payload,
) -> bytes:
    """Call a member on a connection of its own.

    :raises PlatformError: if it does not answer.
    """
    session = Session(address)
    try:
        return await call_in(session, target, payload)
    finally:
        await end(session)


async def call_in(
    session: Session,
    target: str,
    payload: platform_messages.Payload,
) -> bytes:
    """Call a member on a session; a call that fails ends it.

    :raises PlatformError: if it does not answer.
    """
    if session.broken:
        raise PlatformError(f'{session.address}: session ended', sent=False)
    session.broken = True
    try:
        body = await curio.timeout_after(
            CALL_LIMIT_S,
            _exchange,
            session,
            _request(target, payload),
        )
    except http_client.HttpError as error:
        message = f'{session.address}: {error!r}'
        raise PlatformError(message, sent=error.sent) from error
    except curio.TaskTimeout as timeout:
        message = f'{session.address}: no answer in {CALL_LIMIT_S} s'
        raise PlatformError(message) from timeout
    session.broken = False
    return body


async def end(session: Session) -> None:
    """End a session."""
    session.broken = True
    if session.exchange is not None:
        await session.exchange.close()
        session.exchange = None


async def _exchange(session: Session, request: http_messages.Request) -> bytes:
    address = session.address
    if session.exchange is None:
        session.exchange = await http_client.open_exchange(address, request)
    else:
        await http_client.next_exchange(session.exchange, address, request)
    body = await session.exchange.read_all()
    status = session.exchange.status
    if status != http.HTTPStatus.OK:
        raise http_client.HttpError(f'status {status}', sent=True)
    return body


def _request(
    target: str,
    payload: platform_messages.Payload,
) -> http_messages.Request:
    headers = [('content-type', 'application/json')]
    body = msgspec.json.encode(payload)
    return http_messages.Request('POST', target, headers, body)
