"""Query the status of a running process."""

import curio

from camphorstair_core import messages, vms
from camphorstair_runtime import peers, settings
from camphorstair_standins import loopback

CALL_LIMIT_S = 5.0


def read(vm: vms.Vm) -> messages.NodeStatus:
    """Return the status of a VM's process.

    :raises loopback.WaitError: if the reply is not a status.
    """
    reply = curio.run(
        peers.call,
        settings.split_address(vm.peers_address),
        None,
        messages.StatusRequest(),
        CALL_LIMIT_S,
    )
    if not isinstance(reply, messages.NodeStatus):
        raise loopback.WaitError(f'{vm.name} did not reply with its status')
    return reply
