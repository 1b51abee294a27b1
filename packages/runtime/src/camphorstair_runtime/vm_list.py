"""Reads the platform's list of VMs over HTTP."""

import attrs
import curio

from camphorstair_core import decoding, vms
from camphorstair_runtime import http_client

READ_LIMIT_S = 2.0


class VmListError(Exception):
    """The VM list can't be read."""


@attrs.define
class VmList:
    """The VM list as the platform sends it.

    :ivar vms: All VMs.
    """

    vms: list[vms.Vm]


async def read(address: str) -> list[vms.Vm]:
    """Return all VMs of the platform's list.

    :param address: ``IP:port`` of the VM list.
    :raises VmListError: if the platform does not answer or the answer can't be
        decoded.
    """
    try:
        response = await curio.timeout_after(
            READ_LIMIT_S,
            http_client.fetch_json,
            address,
            '/v1/vms',
        )
        return decoding.from_json(response.body, VmList).vms
    except (
        http_client.HttpError,
        curio.TaskTimeout,
        decoding.FormatError,
    ) as error:
        raise VmListError(f'{address}: {error!r}') from error
