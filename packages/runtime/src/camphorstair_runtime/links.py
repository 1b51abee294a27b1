"""Links between processes: messages over TCP, each with its length.

A message is a length of four bytes, a kind of one byte and a MessagePack map.
"""

import contextlib
import socket
import struct
import types
import typing
from collections import abc

import attrs
import curio
import msgspec

from camphorstair_core import messages
from camphorstair_runtime import sockets, traffic

MAX_MESSAGE_BYTES = 16777216

_READ_BYTES = 65536
_HEAD = struct.Struct('>IB')
_ENCODER = msgspec.msgpack.Encoder()
_NUMBERS = types.MappingProxyType(
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
_DECODERS: abc.Mapping[int, msgspec.msgpack.Decoder[typing.Any]]
_DECODERS = types.MappingProxyType(
    {
        number: msgspec.msgpack.Decoder(kind)
        for number, kind in messages.KINDS.items()
    },
)


class LinkError(Exception):
    """The other side closed the link or sent what is no message."""


def encode(message: object) -> bytes:
    """Return a message as it goes over the wire."""
    body = _ENCODER.encode(message)
    return _HEAD.pack(len(body), _NUMBERS[type(message)]) + body


def decode(number: int, body: bytes) -> object:
    """Return the message of a kind.

    :raises LinkError: if the kind is unknown or the body does not fit it.
    """
    decoder = _DECODERS.get(number)
    if decoder is None:
        raise LinkError(f'unknown message kind {number}')
    try:
        return decoder.decode(body)
    except msgspec.DecodeError as error:
        raise LinkError(f'message of kind {number}: {error}') from error


def _count(kind: type, size_bytes: int) -> None:
    if kind not in _REQUEST_KINDS:
        traffic.PROCESS.control_bytes += size_bytes


@attrs.define
class Link:
    """A connection to another process.

    :ivar sock: The connected socket.
    :ivar received: Bytes that are not yet decoded.
    """

    sock: curio.io.Socket
    received: bytearray = attrs.field(factory=bytearray)

    async def send(self, message: object) -> None:
        """Send a message.

        :raises LinkError: if the connection is broken.
        """
        encoded = encode(message)
        _count(type(message), len(encoded))
        try:
            await self.sock.sendall(encoded)
        except OSError as error:
            raise LinkError(f'send: {error}') from error

    async def receive(self) -> object:
        """Receive the next message.

        :raises LinkError: if the connection ends or breaks.
        """
        try:
            return await self._receive()
        except OSError as error:
            raise LinkError(f'receive: {error}') from error

    async def call(self, message: object) -> object:
        """Send a message and return the answer.

        :raises LinkError: if the connection breaks, or the other side ends it.
        """
        await self.send(message)
        reply = await self.receive()
        if isinstance(reply, messages.RequestRefused):
            raise LinkError(reply.message)
        return reply

    async def wait_closed(self) -> None:
        """Return when the other side closes the connection.

        To be called while no message is expected. The other side may already
        send its next one when this is cancelled; what has come of it is kept.
        """
        try:
            await self._keep_until_closed()
        except OSError:
            return

    async def interrupt(self) -> None:
        """End the connection, also for a task that waits to receive."""
        with contextlib.suppress(OSError):
            await self.sock.shutdown(socket.SHUT_RDWR)

    async def close(self) -> None:
        """Close the connection."""
        await self.sock.close()

    async def _keep_until_closed(self) -> None:
        while len(self.received) < MAX_MESSAGE_BYTES:
            chunk = await self.sock.recv(_READ_BYTES)
            if not chunk:
                return
            self.received.extend(chunk)
        await curio.Event().wait()

    async def _receive(self) -> object:
        await self._fill(_HEAD.size)
        length, number = _HEAD.unpack_from(self.received)
        if length > MAX_MESSAGE_BYTES:
            raise LinkError(f'message of {length} bytes is too long')
        end = _HEAD.size + length
        await self._fill(end)
        body = bytes(self.received[_HEAD.size : end])
        self.received = self.received[end:]
        message = decode(number, body)
        _count(type(message), end)
        return message

    async def _fill(self, count: int) -> None:
        while len(self.received) < count:
            chunk = await self.sock.recv(_READ_BYTES)
            if not chunk:
                raise LinkError('the other side closed the link')
            self.received.extend(chunk)


async def connect(
    host: str,
    port: int,
    context: typing.Any,
    timeout_s: float,
) -> Link:
    """Open a link.

    :param host: IP address.
    :param port: Port.
    :param context: TLS context, or None for a plain link.
    :param timeout_s: Limit of the time to connect.
    :raises LinkError: if it can't be opened.
    """
    try:
        sock = await curio.timeout_after(
            timeout_s,
            curio.open_connection(host, port, ssl=context),
        )
    except (OSError, curio.TaskTimeout) as error:
        raise LinkError(f'connect to {host}:{port}: {error!r}') from error
    return accept(sock)


def accept(sock: curio.io.Socket) -> Link:
    """Return the link over a connected socket."""
    sockets.send_at_once(sock)
    return Link(sock)
