"""A small HTTP/1.1 server and client for stand-ins, on asyncio."""

import asyncio
import contextlib
import socket
import struct

READ_BYTES = 65536


class Request:
    """A request with its complete body."""

    def __init__(self, method, target, headers, body):
        """Store the parts; names of headers are in lower case."""
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body

    def header(self, name):
        """Return a header, or an empty string."""
        return self.headers.get(name, '')


def reset(writer):
    """Reset a connection instead of closing it."""
    sock = writer.get_extra_info('socket')
    if sock is not None:
        with contextlib.suppress(OSError):
            sock.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0)
            )
    writer.transport.abort()


def answer(status, headers, body=b''):
    """Return the bytes of a complete response."""
    lines = [f'HTTP/1.1 {status} X', *(f'{n}: {v}' for n, v in headers)]
    lines.append(f'Content-Length: {len(body)}')
    return ('\r\n'.join(lines) + '\r\n\r\n').encode('latin-1') + body


async def read_head(reader):
    """Return the first line and the headers of a message; None at the end."""
    try:
        raw = await reader.readuntil(b'\r\n\r\n')
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = raw.decode('latin-1').split('\r\n')
    headers = {}
    for line in lines[1:]:
        name, colon, text = line.partition(':')
        if colon:
            headers[name.strip().lower()] = text.strip()
    return lines[0], headers


async def read_request(reader):
    """Return the next request; None at the end of the connection."""
    head = await read_head(reader)
    if head is None:
        return None
    method, target, _version = head[0].split(' ', 2)
    length = int(head[1].get('content-length') or 0)
    try:
        body = await reader.readexactly(length)
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return Request(method, target, head[1], body)


class Server:
    """Serves one address; connections can all be reset at once.

    The handler gets a request and the writer, and returns whether the
    connection is kept.
    """

    def __init__(self, host, port, handle):
        """Store the address and the handler."""
        self.host = host
        self.port = port
        self.handle = handle
        self.writers = set()
        self.listener = None

    async def start(self):
        """Listen."""
        self.listener = await asyncio.start_server(
            self._serve, self.host, self.port, backlog=512
        )

    async def stop(self):
        """Stop listening and reset all connections."""
        if self.listener is not None:
            self.listener.close()
            self.listener = None
        for writer in list(self.writers):
            reset(writer)

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            request = await read_request(reader)
            while request is not None:
                if not await self.handle(request, writer):
                    return
                await writer.drain()
                request = await read_request(reader)
        except (ConnectionError, OSError, asyncio.CancelledError):
            # The loop cancels what still runs as the case ends.
            return
        finally:
            self.writers.discard(writer)
            with contextlib.suppress(Exception):
                writer.close()


class Answer:
    """What a caller got: status 0 if no whole answer came."""

    def __init__(self, status=0, headers=None, body=b'', fault=''):
        """Store the parts."""
        self.status = status
        self.headers = headers or {}
        self.body = body
        self.fault = fault


async def call(address, method, target, headers, body=b'', limit_s=4.0):
    """Send a request on a new connection and return the answer."""
    try:
        return await asyncio.wait_for(
            _call(address, method, target, headers, body), limit_s
        )
    except TimeoutError:
        return Answer(fault='no answer in time')
    except (ConnectionError, OSError, asyncio.IncompleteReadError) as error:
        return Answer(fault=repr(error))


async def _call(address, method, target, headers, body):
    host, port = address
    reader, writer = await asyncio.open_connection(host, port)
    try:
        lines = [f'{method} {target} HTTP/1.1']
        lines += [f'{name}: {text}' for name, text in headers]
        lines.append(f'Content-Length: {len(body)}')
        head = ('\r\n'.join(lines) + '\r\n\r\n').encode('latin-1')
        writer.write(head + body)
        await writer.drain()
        return await read_answer(reader)
    finally:
        writer.close()


async def read_answer(reader):
    """Return the next answer of a connection."""
    head = await read_head(reader)
    if head is None:
        return Answer(fault='the channel was closed without an answer')
    status = int(head[0].split(' ')[1])
    headers = head[1]
    if headers.get('transfer-encoding', '').lower() == 'chunked':
        content = bytearray()
        while True:
            size = int((await reader.readline()).strip() or b'x', 16)
            content += await reader.readexactly(size)
            await reader.readexactly(2)
            if not size:
                return Answer(status, headers, bytes(content))
    length = int(headers.get('content-length') or 0)
    return Answer(status, headers, await reader.readexactly(length))
