"""Calls to one member of the platform's key-value service."""

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
    """A call to the platform failed.

    :ivar sent: Whether the platform may have received the call; if so, a
        write may have taken effect.
    """

    def __init__(self, message: str, *, sent: bool = True) -> None:
        """Store the message and whether the call may have been sent."""
        super().__init__(message)
        self.sent = sent


@attrs.define
class Session:
    """A connection to one member for several calls.

    As long as the connection is open, the member has not restarted. A write
    is therefore not applied to an older copy of the data than was read in the
    same session.

    :ivar address: ``IP:port`` of the member.
    :ivar exchange: The exchange of the last call, or None before the first.
    :ivar broken: Whether the session has ended, or a call is in progress.
    """

    address: str
    exchange: http_client.Exchange | None = None
    broken: bool = False


async def call(
    address: str,
    target: str,
    payload: platform_messages.Payload,
) -> bytes:
    """Call a member over a new connection and return the reply's body.

    :param address: ``IP:port`` of the member.
    :param target: Path of the call.
    :param payload: The request, encoded as JSON.
    :raises PlatformError: if the call fails or takes longer than
        ``CALL_LIMIT_S``.
    """
    session = Session(address)
    try:
        return await call_in_session(session, target, payload)
    finally:
        await end(session)


async def call_in_session(
    session: Session,
    target: str,
    payload: platform_messages.Payload,
) -> bytes:
    """Call a member within a session and return the reply's body.

    A failed call ends the session.

    :param session: The session.
    :param target: Path of the call.
    :param payload: The request, encoded as JSON.
    :raises PlatformError: if the session has ended, or the call fails or
        takes longer than ``CALL_LIMIT_S``.
    """
    if session.broken:
        raise PlatformError(f'{session.address}: session ended', sent=False)
    session.broken = True
    try:
        body = await curio.timeout_after(
            CALL_LIMIT_S,
            _send_request,
            session,
            _build_request(target, payload),
        )
    except http_client.HttpError as error:
        message = f'{session.address}: {error!r}'
        raise PlatformError(message, sent=error.sent) from error
    except curio.TaskTimeout as timeout:
        message = f'{session.address}: no reply in {CALL_LIMIT_S} s'
        raise PlatformError(message) from timeout
    session.broken = False
    return body


async def end(session: Session) -> None:
    """End a session and close its connection."""
    session.broken = True
    if session.exchange is not None:
        await session.exchange.close()
        session.exchange = None


async def _send_request(
    session: Session, request: http_messages.Request
) -> bytes:
    address = session.address
    if session.exchange is None:
        session.exchange = await http_client.open_exchange(address, request)
    else:
        await http_client.reuse_exchange(session.exchange, address, request)
    body = await session.exchange.read_all()
    status = session.exchange.status
    if status != http.HTTPStatus.OK:
        raise http_client.HttpError(f'status {status}', sent=True)
    return body


def _build_request(
    target: str,
    payload: platform_messages.Payload,
) -> http_messages.Request:
    headers = [('content-type', 'application/json')]
    body = msgspec.json.encode(payload)
    return http_messages.Request('POST', target, headers, body)
