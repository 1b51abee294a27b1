"""Mutual TLS between the processes of a fleet."""

import pathlib
import ssl

import certificates
import curio
import pytest

from camphorstair_core import messages, vms
from camphorstair_runtime import links, node, peers, security, settings

TIMEOUT_S = 2.0


def _tls_settings(directory: pathlib.Path, name: str) -> settings.Security:
    """Return TLS settings with the files of a certificate."""
    return settings.Security(
        certificate=str(directory / f'{name}.pem'),
        private_key=str(directory / f'{name}-key.pem'),
        authority=str(directory / f'{name}-authority.pem'),
    )


@pytest.fixture
def fleet_security(tmp_path: pathlib.Path) -> settings.Security:
    """Return the TLS settings of the fleet's processes."""
    certificates.write_certificate(tmp_path, 'fleet')
    return _tls_settings(tmp_path, 'fleet')


@pytest.fixture
def other_security(tmp_path: pathlib.Path) -> settings.Security:
    """Return TLS settings with a certificate of another authority."""
    certificates.write_certificate(tmp_path, 'stranger')
    return _tls_settings(tmp_path, 'stranger')


async def _exchange_hello(
    server: settings.Security,
    context: ssl.SSLContext | None,
) -> object:
    """Run a peer server, send it a Hello and return its reply.

    :param server: TLS settings of the server.
    :param context: TLS context of the client, or None for a plain connection.
    """
    identity = settings.Node('a', 'r', 'd')
    peer_server = peers.PeerServer(node.NodeState(identity, vms.VmRole.entry))
    listener = curio.tcp_server_socket('127.0.0.1', 0)
    port = listener.getsockname()[1]
    task = await curio.spawn(
        curio.network.run_server(
            listener,
            peer_server.serve,
            security.peers_context(server),
        ),
    )
    try:
        hello = messages.Hello('b', 'd', 0)
        return await peers.call(('127.0.0.1', port), context, hello, TIMEOUT_S)
    finally:
        await task.cancel()


def test_processes_with_fleet_certificates_can_connect(
    fleet_security: settings.Security,
) -> None:
    context = security.client_context(fleet_security)
    reply = curio.run(_exchange_hello, fleet_security, context)
    assert isinstance(reply, messages.Hello)


def test_a_peer_without_certificate_is_refused(
    fleet_security: settings.Security,
) -> None:
    context = ssl.create_default_context(cafile=fleet_security.authority)
    context.check_hostname = False
    with pytest.raises(links.LinkError):
        curio.run(_exchange_hello, fleet_security, context)


def test_peer_without_tls_is_refused(fleet_security: settings.Security) -> None:
    with pytest.raises(links.LinkError):
        curio.run(_exchange_hello, fleet_security, None)


def test_a_peer_of_another_authority_is_refused(
    fleet_security: settings.Security,
    other_security: settings.Security,
) -> None:
    other_context = security.client_context(other_security)
    assert other_context is not None
    other_context.verify_mode = ssl.CERT_NONE
    with pytest.raises(links.LinkError):
        curio.run(_exchange_hello, fleet_security, other_context)


def test_a_server_of_another_authority_is_refused(
    fleet_security: settings.Security,
    other_security: settings.Security,
) -> None:
    context = security.client_context(fleet_security)
    with pytest.raises(links.LinkError):
        curio.run(_exchange_hello, other_security, context)
