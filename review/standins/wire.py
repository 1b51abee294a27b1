"""HTTP/1.1 for the stand-ins, on asyncio streams and the standard library."""

import asyncio
import dataclasses

MAX_LINE_BYTES = 65536


@dataclasses.dataclass
class Message:
    """A request or an answer.

    ``first`` is the method or the status, ``target`` the path with its query.
    """

    first: str
    target: str
    headers: dict
    body: bytes = b''

    def header(self, name):
        return self.headers.get(name.lower(), '')


class Broken(Exception):
    """The connection ended before a message was complete."""


async def _line(reader):
    line = await reader.readline()
    if not line.endswith(b'\n'):
        raise Broken('end of the connection')
    return line.rstrip(b'\r\n').decode('latin-1')


async def _headers(reader):
    headers = {}
    while True:
        line = await _line(reader)
        if not line:
            return headers
        name, _colon, value = line.partition(':')
        headers[name.strip().lower()] = value.strip()


async def _chunks(reader):
    parts = []
    while True:
        size = int((await _line(reader)).partition(';')[0], 16)
        if not size:
            while await _line(reader):
                pass
            return b''.join(parts)
        parts.append(await reader.readexactly(size))
        await _line(reader)


async def _body(reader, headers, to_end):
    if headers.get('transfer-encoding', '').lower() == 'chunked':
        return await _chunks(reader)
    if 'content-length' in headers:
        return await reader.readexactly(int(headers['content-length']))
    return await reader.read() if to_end else b''


async def read_request(reader):
    """Return the next request, or None at the end of the connection."""
    try:
        method, target, _version = (await _line(reader)).split(' ', 2)
    except Broken:
        return None
    headers = await _headers(reader)
    body = await _body(reader, headers, to_end=False)
    return Message(method, target, headers, body)


async def read_answer(reader):
    """Return a whole answer; raise ``Broken`` if it ends early."""
    try:
        _version, status, *_rest = (await _line(reader)).split(' ', 2)
        headers = await _headers(reader)
        body = await _body(reader, headers, to_end=True)
    except (asyncio.IncompleteReadError, ConnectionError) as error:
        raise Broken(str(error)) from error
    return Message(status, '', headers, body)


def encode(first_line, headers, body=b''):
    lines = [first_line, *(f'{name}: {value}' for name, value in headers)]
    lines.append(f'Content-Length: {len(body)}')
    return ('\r\n'.join(lines) + '\r\n\r\n').encode() + body


async def call(address, method, target, headers=(), body=b'', limit_s=5.0):
    """Send one request on a new connection and return its whole answer.

    Raises ``Broken``, ``OSError`` or ``TimeoutError``.
    """
    host, _colon, port = address.rpartition(':')
    async with asyncio.timeout(limit_s):
        reader, writer = await asyncio.open_connection(
            host, int(port), limit=MAX_LINE_BYTES
        )
        try:
            rows = [('Host', address), *headers]
            if any(name.lower() == 'host' for name, _value in headers):
                rows = list(headers)
            writer.write(encode(f'{method} {target} HTTP/1.1', rows, body))
            return await read_answer(reader)
        finally:
            writer.close()


async def serve(address, answer):
    """Serve requests; ``answer(request, writer, peer)`` sends each answer.

    It returns whether the connection is kept.
    """

    async def connection(reader, writer):
        peer = (writer.get_extra_info('peername') or ('', 0))[0]
        try:
            while True:
                request = await read_request(reader)
                if request is None:
                    return
                if not await answer(request, writer, peer):
                    return
        except (
            Broken,
            ConnectionError,
            asyncio.IncompleteReadError,
            ValueError,
        ):
            pass
        finally:
            writer.close()

    host, _colon, port = address.rpartition(':')
    server = await asyncio.start_server(
        connection, host, int(port), limit=MAX_LINE_BYTES, backlog=512
    )
    async with server:
        await server.serve_forever()
