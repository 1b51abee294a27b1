"""Free loopback addresses, polling, and blocking HTTP requests."""

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
    """A condition was still false at the time limit."""


def free_address() -> str:
    """Return a loopback ``IP:port`` that nothing listens on.

    A port that the kernel picks (bind to port 0) comes from its ephemeral
    range: the kernel may return it twice, or assign it to an outgoing
    connection before the intended process listens on it. The port is
    therefore drawn from below that range, and this process returns no port
    twice.
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
    """Return whether a TCP connection to an address succeeds."""
    host, _, port = address.rpartition(':')
    with contextlib.closing(socket.socket()) as sock:
        return sock.connect_ex((host, int(port))) == 0


def wait_for(
    condition: abc.Callable[[], bool],
    limit_s: float,
) -> None:
    """Poll a condition until it is true.

    :param condition: Function without arguments, called every ``POLL_S``.
    :param limit_s: Maximum time to wait.
    :raises WaitError: if the condition is still false after the limit.
    """
    deadline_s = time.monotonic() + limit_s
    while not condition():
        if time.monotonic() > deadline_s:
            raise WaitError(f'a condition did not hold within {limit_s} s')
        time.sleep(POLL_S)


@attrs.define
class HttpResponse:
    """Response to :func:`http_call`.

    :ivar status: Status code.
    :ivar headers: Header values by name in lower case.
    :ivar body: The complete body.
    :ivar first_byte_s: Arrival time of the first byte of the body, by
        ``time.perf_counter``.
    """

    status: int
    headers: dict[str, str]
    body: bytes
    first_byte_s: float

    def json(self) -> typing.Any:
        """Return the body, decoded from JSON."""
        return json.loads(self.body)


def http_call(
    address: str,
    target: str,
    body: bytes | None = None,
    headers: dict[str, str] | None = None,
) -> HttpResponse:
    """Send an HTTP request and return the response, whatever its status.

    The request has the content type ``application/json`` unless ``headers``
    has another.

    :param address: ``IP:port``.
    :param target: Path and query string.
    :param body: Body of a POST; None for a GET.
    :param headers: Additional headers.
    :raises OSError: if the connection fails or takes too long.
    """
    call = request.Request(
        f'http://{address}{target}',
        body,
        {'content-type': 'application/json', **(headers or {})},
    )
    try:
        with request.urlopen(call, timeout=CALL_LIMIT_S) as response:
            return _read_response(response)
    except error.HTTPError as error_response:
        return _read_response(error_response)


def _read_response(response: typing.Any) -> HttpResponse:
    headers = {name.lower(): value for name, value in response.headers.items()}
    first = response.read(1)
    first_byte_s = time.perf_counter()
    body = first + response.read()
    return HttpResponse(response.status, headers, body, first_byte_s)
