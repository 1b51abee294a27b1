"""Addresses, waits and HTTP calls on loopback."""

import contextlib
import json
import random
import socket
import time
import typing
from collections import abc
from urllib import error, request

import attrs

HOST = '127.0.0.1'
POLL_S = 0.05
CALL_LIMIT_S = 30.0
_FIRST_PORT = 12000
_END_PORT = 32000
_GENERATOR = random.SystemRandom()
_RETURNED: set[str] = set()


class WaitError(Exception):
    """A condition did not hold in time."""


def free_address() -> str:
    """Return an address on loopback that nothing listens on.

    The kernel gives ports of its own range to outgoing connections, also
    between this call and the start of the process that is to listen there,
    and may return one twice. So the port comes from below that range, and
    each is returned once.
    """
    while True:
        port = _GENERATOR.randrange(_FIRST_PORT, _END_PORT)
        address = f'{HOST}:{port}'
        if address not in _RETURNED and _can_bind(port):
            _RETURNED.add(address)
            return address


def _can_bind(port: int) -> bool:
    with contextlib.closing(socket.socket()) as sock:
        try:
            sock.bind((HOST, port))
        except OSError:
            return False
    return True


def listening(address: str) -> bool:
    """Tell whether something listens on an address."""
    host, _, port = address.rpartition(':')
    with contextlib.closing(socket.socket()) as sock:
        return sock.connect_ex((host, int(port))) == 0


def wait_for(
    condition: abc.Callable[[], bool],
    limit_s: float,
) -> None:
    """Wait until a condition holds.

    :raises WaitError: if it does not hold within the limit.
    """
    deadline_s = time.monotonic() + limit_s
    while not condition():
        if time.monotonic() > deadline_s:
            raise WaitError(f'a condition did not hold within {limit_s} s')
        time.sleep(POLL_S)


@attrs.define
class HttpAnswer:
    """The answer to a call.

    :ivar first_byte_s: When the first byte of the body came, on the clock
        ``time.perf_counter``.
    """

    status: int
    headers: dict[str, str]
    body: bytes
    first_byte_s: float

    def json(self) -> typing.Any:
        """Return the body, read as JSON."""
        return json.loads(self.body)


def http_call(
    address: str,
    target: str,
    body: bytes | None = None,
    headers: dict[str, str] | None = None,
) -> HttpAnswer:
    """Call an HTTP server as any caller may.

    :param address: ``IP:port``.
    :param target: Path and query.
    :param body: Body of a POST; None for a GET.
    :param headers: Headers.
    """
    call = request.Request(
        f'http://{address}{target}',
        body,
        {'content-type': 'application/json', **(headers or {})},
    )
    try:
        with request.urlopen(call, timeout=CALL_LIMIT_S) as answer:
            return _read_answer(answer)
    except error.HTTPError as refusal:
        return _read_answer(refusal)


def _read_answer(answer: typing.Any) -> HttpAnswer:
    headers = {name.lower(): value for name, value in answer.headers.items()}
    first = answer.read(1)
    first_byte_s = time.perf_counter()
    body = first + answer.read()
    return HttpAnswer(answer.status, headers, body, first_byte_s)
