"""Endpoints that answer with given bytes, right or wrong."""

import attrs
import curio
import fleet_bench

from camphorstair_platform_standins import exchange_headers
from camphorstair_standins import loopback


def answer(
    status: int,
    *lines: tuple[str, str],
    body: bytes = b'',
) -> bytes:
    """Return the bytes of an answer with a length."""
    head = ''.join(f'{name}: {text}\r\n' for name, text in lines)
    return b'HTTP/1.1 %d x\r\n%scontent-length: %d\r\n\r\n%s' % (
        status,
        head.encode(),
        len(body),
        body,
    )


def sealed(attempt: str, body: bytes = b'ok') -> bytes:
    """Return the bytes of a successful answer to an attempt."""
    return answer(200, *exchange_headers.sealed(attempt), body=body)


@attrs.define(eq=False)
class RawEndpoint:
    """An endpoint that answers each request on a connection with given bytes.

    :ivar answers: What is sent for the requests of a connection in turn; the
        connection is closed after the last one.
    :ivar requests: Received requests by connection.
    :ivar closes: Set when the connections may be closed.
    """

    answers: list[bytes]
    requests: list[list[bytes]] = attrs.field(factory=list)
    closes: curio.Event = attrs.field(factory=curio.Event)

    async def serve(self, sock: curio.io.Socket, _address: object) -> None:
        """Answer the requests of one connection."""
        received: list[bytes] = []
        self.requests.append(received)
        for content in self.answers:
            request = await sock.recv(65536)
            if not request:
                return
            received.append(request)
            await sock.sendall(content)
        await curio.ignore_after(0.5, self.closes.wait)


async def add(
    running: fleet_bench.FleetBench, name: str, service: str, *answers: bytes
) -> RawEndpoint:
    """Start an endpoint, register it and wait until the entry lists it."""
    endpoint = RawEndpoint(list(answers))
    address = loopback.free_address()
    await running.listen_raw(address, endpoint.serve)
    running.register(name, service, address)
    known = running.entry.endpoints.endpoints
    await running.wait_until(lambda: name in known)
    return endpoint
