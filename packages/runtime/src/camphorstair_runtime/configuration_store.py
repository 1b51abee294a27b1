"""The configuration in the platform's key-value service."""

import attrs
import msgspec

from camphorstair_core import configuration
from camphorstair_runtime import platform

HEAD_KEY = 'camphorstair/configuration'


@attrs.define
class Stored:
    """The stored configuration and the platform's revision of it."""

    current: configuration.Configuration | None
    mod_revision: int


async def read(client: platform.PlatformClient) -> Stored:
    """Return what the platform holds.

    :raises platform.PlatformError: if it does not answer.
    :raises msgspec.DecodeError: if the value is corrupt.
    """
    found = await client.get(HEAD_KEY)
    if not found.mod_revision:
        return Stored(None, 0)
    current = msgspec.json.decode(
        found.value,
        type=configuration.Configuration,
    )
    return Stored(current, found.mod_revision)


async def write(
    client: platform.PlatformClient,
    stored: Stored,
    changed: configuration.Configuration,
) -> bool:
    """Accept a configuration if none came between.

    :param client: The platform.
    :param stored: What was read before.
    :param changed: The new configuration.
    :returns: Whether it was accepted.
    :raises platform.PlatformError: if that is not known.
    """
    return await client.compare_and_swap(
        HEAD_KEY,
        stored.mod_revision,
        msgspec.json.encode(changed),
    )
