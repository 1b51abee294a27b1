"""TLS contexts and the token key, as given by the settings."""

import pathlib
import ssl

from camphorstair_runtime import settings


def callers_context(security: settings.Security) -> ssl.SSLContext | None:
    """Return the TLS context of the callers' listener, or None without TLS."""
    if security.plain:
        return None
    context = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
    context.load_cert_chain(security.certificate, security.private_key)
    return context


def peers_context(security: settings.Security) -> ssl.SSLContext | None:
    """Return the TLS context of the peers' listener, or None without TLS.

    Peers must present a certificate that the authority has signed.
    """
    if security.plain:
        return None
    context = ssl.create_default_context(
        ssl.Purpose.CLIENT_AUTH,
        cafile=security.authority,
    )
    context.load_cert_chain(security.certificate, security.private_key)
    context.verify_mode = ssl.CERT_REQUIRED
    return context


def client_context(security: settings.Security) -> ssl.SSLContext | None:
    """Return the TLS context of connections to peers, or None without TLS.

    The peer's certificate must be signed by the authority; the host name is
    not checked.
    """
    if security.plain:
        return None
    context = ssl.create_default_context(cafile=security.authority)
    context.load_cert_chain(security.certificate, security.private_key)
    context.check_hostname = False
    return context


def token_key(security: settings.Security) -> bytes:
    """Return the key that signs callers' tokens, without outer whitespace.

    :raises settings.SettingsError: if the file can't be read or is empty.
    """
    try:
        key = pathlib.Path(security.token_key).read_bytes().strip()
    except OSError as error:
        raise settings.SettingsError(
            f'security.token_key: {security.token_key}: {error.strerror}',
        ) from error
    if not key:
        message = f'security.token_key: {security.token_key} is empty'
        raise settings.SettingsError(message)
    return key
