"""Makes endpoints fail, refuse requests, or leave."""

import types

import curio

from camphorstair_platform_standins import documents
from soak import fleet, proxy, recording, schedule

PROXY_MODES = types.MappingProxyType(
    {
        schedule.Kind.endpoint_silent: proxy.Mode.silent,
        schedule.Kind.endpoint_one_way: proxy.Mode.one_way,
        schedule.Kind.endpoint_resets: proxy.Mode.resets,
        schedule.Kind.endpoint_delayed: proxy.Mode.delayed,
    },
)
# Time for which only its answers tell that an endpoint leaves.
UNREGISTERED_S = 3 * recording.DRAIN_S


async def inject(running: fleet.Fleet, fault: schedule.Fault) -> None:
    """Inject a fault of an endpoint; return when it is over."""
    handlers = {
        schedule.Kind.endpoint_drains: _drain,
        schedule.Kind.endpoint_leaves: _leave,
        schedule.Kind.endpoint_refuses: _refuse,
    }
    await handlers.get(fault.kind, _degrade)(running, fault)


async def _degrade(running: fleet.Fleet, fault: schedule.Fault) -> None:
    """Disturb the connections to an endpoint until the end of the fault."""
    name = running.endpoint_at(fault.target)
    endpoint_proxy = running.endpoint_proxies[name]
    endpoint_proxy.mode = PROXY_MODES[fault.kind]
    await running.sleep_until(fault.end_s)
    endpoint_proxy.mode = proxy.Mode.whole


async def _refuse(running: fleet.Fleet, fault: schedule.Fault) -> None:
    """Let an endpoint refuse requests until the end of the fault."""
    name = running.endpoint_at(fault.target)
    running.endpoints[name].refusing_until_s = fault.end_s


async def _drain(running: fleet.Fleet, fault: schedule.Fault) -> None:
    """Replace an endpoint: add a new one, then drain and remove the old."""
    name = running.endpoint_at(fault.target)
    if name not in running.replaced:
        await _add_replacement(running, name)
        await _remove(running, name)


async def _leave(running: fleet.Fleet, fault: schedule.Fault) -> None:
    """Replace an endpoint whose answers say first that it leaves."""
    name = running.endpoint_at(fault.target)
    if name not in running.replaced:
        await _add_replacement(running, name)
        running.endpoints[name].leaving = True
        await curio.sleep(UNREGISTERED_S)
        await _remove(running, name)


async def _add_replacement(running: fleet.Fleet, name: str) -> None:
    running.replaced.add(name)
    await running.add_endpoint()


async def _remove(running: fleet.Fleet, name: str) -> None:
    """Register an endpoint as draining and remove it later."""
    running.seen.drained_s[name] = running.elapsed_s()
    running.register(name, 'draining')
    await curio.sleep(2 * recording.DRAIN_S)
    running.store.remove(documents.registration_key(name))
    running.endpoint_proxies.pop(name)
