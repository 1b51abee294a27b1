"""Tests of connecting to an IP address, or to a name."""

import socket
import threading

import curio
import pytest

from camphorstair_runtime import http_client, links, listening, settings
from camphorstair_standins import loopback

CONNECT_LIMIT_S = 1.0


async def _close_at_once(_sock: curio.io.Socket, _address: object) -> None:
    """Return, upon which the listener closes the connection."""


async def _connect_as(name: str) -> None:
    """Connect to a listener both ways, by a name of its host."""
    host, port = settings.split_address(loopback.free_address())
    async with curio.TaskGroup(wait=any) as group:
        await group.spawn(listening.serve, host, port, _close_at_once)
        await curio.sleep(0.02)
        exchange = await http_client.connect(f'{name}:{port}')
        await exchange.close()
        link = await links.connect(name, port, None, CONNECT_LIMIT_S)
        await link.sock.close()
        await group.cancel_remaining()


def test_an_ip_address_is_connected_to_without_a_look_up(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A look-up needs a thread, which may wait for a processor."""

    def refuse(*_args: object) -> None:
        raise OSError('no look-up expected')

    threads = threading.active_count()
    monkeypatch.setattr(socket, 'getaddrinfo', refuse)
    curio.run(_connect_as, loopback.HOST)
    assert threading.active_count() == threads


def test_a_name_is_looked_up() -> None:
    curio.run(_connect_as, 'localhost')


def test_a_refused_connect_is_an_http_error() -> None:
    async def body() -> None:
        with pytest.raises(http_client.HttpError, match='Refused') as raised:
            await http_client.connect(loopback.free_address())
        assert not raised.value.sent

    curio.run(body)
