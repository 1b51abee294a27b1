"""Links between processes: length-prefixed messages over TCP.

A frame is the length of the body (four bytes, big-endian), the kind of the
message (one byte) and the body, a MessagePack map.
"""

import contextlib
import socket
import struct
import types
import typing

import attrs
import curio
import msgspec

from camphorstair_core import decoding, messages
from camphorstair_runtime import fairness, sockets, traffic

MAX_MESSAGE_BYTES = 16777216

_READ_BYTES = 65536
_FRAME_HEADER = struct.Struct('>IB')
_ENCODER = msgspec.msgpack.Encoder()
_KIND_NUMBERS = types.MappingProxyType(
    {kind: number for number, kind in messages.KINDS.items()},
)
_REQUEST_KINDS = frozenset(
    (
        messages.RequestStart,
        messages.RequestRefused,
        messages.ResponseHead,
        messages.ResponseChunk,
        messages.ResponseEnd,
        messages.ResponseFailed,
    ),
)


class LinkError(Exception):
    """A link failed or was closed, or a message on it is invalid or refused."""


def encode(message: object) -> bytes:
    """Return the frame of a message."""
    body = _ENCODER.encode(message)
    return _FRAME_HEADER.pack(len(body), _KIND_NUMBERS[type(message)]) + body


def decode(number: int, body: bytes) -> object:
    """Decode the body of a frame.

    :param number: Number of the message kind.
    :param body: The body as MessagePack.
    :raises LinkError: if the kind is unknown or the body is invalid for it.
    """
    kind = messages.KINDS.get(number)
    if kind is None:
        raise LinkError(f'unknown message kind {number}')
    try:
        return decoding.from_msgpack(body, kind)
    except decoding.FormatError as error:
        raise LinkError(f'message of kind {number}: {error}') from error


def _count_control_bytes(kind: type, size_bytes: int) -> None:
    if kind not in _REQUEST_KINDS:
        traffic.PROCESS_TRAFFIC.control_bytes += size_bytes


@attrs.define
class Link:
    """A connection to another process that carries messages.

    :ivar sock: The connected socket.
    :ivar received: Buffer of received bytes that are not yet decoded.
    """

    sock: curio.io.Socket
    received: bytearray = attrs.field(factory=bytearray)

    async def send(self, message: object) -> None:
        """Send a message.

        :raises LinkError: if the connection fails.
        """
        encoded = encode(message)
        _count_control_bytes(type(message), len(encoded))
        try:
            await self.sock.sendall(encoded)
        except OSError as error:
            raise LinkError(f'send: {error}') from error

    async def receive(self) -> object:
        """Return the next message.

        :raises LinkError: if the connection ends or fails, or the message is
            too long or invalid.
        """
        try:
            return await self._receive()
        except OSError as error:
            raise LinkError(f'receive: {error}') from error

    async def call(self, message: object) -> object:
        """Send a message and return the reply.

        :raises LinkError: if the connection ends or fails, or the reply is
            ``RequestRefused``.
        """
        await self.send(message)
        reply = await self.receive()
        if isinstance(reply, messages.RequestRefused):
            raise LinkError(reply.message)
        return reply

    async def wait_closed(self) -> None:
        """Return when the connection is closed by the peer or fails.

        Call this only while no message is expected. Bytes that arrive in the
        meantime are buffered for ``receive``, so that cancelling this call
        loses no part of the next message. Once ``MAX_MESSAGE_BYTES`` are
        buffered, the connection is not read and this never returns.
        """
        try:
            await self._buffer_until_closed()
        except OSError:
            return

    async def interrupt(self) -> None:
        """Shut the connection down and wake a task that waits to receive."""
        with contextlib.suppress(OSError):
            await self.sock.shutdown(socket.SHUT_RDWR)

    async def close(self) -> None:
        """Close the connection."""
        await self.sock.close()

    async def _buffer_until_closed(self) -> None:
        while len(self.received) < MAX_MESSAGE_BYTES:
            chunk = await self.sock.recv(_READ_BYTES)
            if not chunk:
                return
            self.received.extend(chunk)
            await fairness.count_event(len(chunk))
        await curio.Event().wait()

    async def _receive(self) -> object:
        await fairness.count_event()
        await self._fill_buffer(_FRAME_HEADER.size)
        length, number = _FRAME_HEADER.unpack_from(self.received)
        if length > MAX_MESSAGE_BYTES:
            raise LinkError(f'message of {length} bytes is too long')
        end = _FRAME_HEADER.size + length
        await self._fill_buffer(end)
        body = bytes(self.received[_FRAME_HEADER.size : end])
        self.received = self.received[end:]
        message = decode(number, body)
        _count_control_bytes(type(message), end)
        return message

    async def _fill_buffer(self, count: int) -> None:
        while len(self.received) < count:
            chunk = await self.sock.recv(_READ_BYTES)
            if not chunk:
                raise LinkError('the other side closed the link')
            self.received.extend(chunk)
            await fairness.count_event(len(chunk))


async def connect(
    host: str,
    port: int,
    context: typing.Any,
    timeout_s: float,
) -> Link:
    """Open a link.

    :param host: IP address of the peer.
    :param port: Port of the peer.
    :param context: TLS context, or None for plain TCP.
    :param timeout_s: Timeout of the connect, including the TLS handshake.
    :raises LinkError: if the connect fails or times out.
    """
    try:
        sock = await curio.timeout_after(
            timeout_s,
            sockets.connect(host, port, context),
        )
    except (OSError, curio.TaskTimeout) as error:
        raise LinkError(f'connect to {host}:{port}: {error!r}') from error
    return Link(sock)


def accept(sock: curio.io.Socket) -> Link:
    """Return a link over a connected socket and disable Nagle's algorithm."""
    sockets.disable_nagle(sock)
    return Link(sock)
