"""Slopes of the control plane in nodes, endpoints and organisations.

The real functions run in this process over tables of several sizes.
"""

import gc
import socket
import time
import tracemalloc
from collections import abc

import attrs
import curio

from camphorstair_core import (
    endpoints,
    membership,
    membership_messages,
    messages,
    rule_reader,
    rules,
    vm_lists,
    vms,
)
from camphorstair_runtime import links, node, peers, settings
from camphorstair_standins import loopback

NODES = (9, 100, 370)
ENDPOINTS = (12, 100, 600)
ORGANISATIONS = (10, 1000, 5800)
REPEATS = 5
EXCHANGES = 2000
US_IN_S = 1_000_000
KIB = 1024


@attrs.define
class Cost:
    """Cost of a step at one size."""

    size: int
    processor_us: float = 0
    memory_kib: float = 0


@attrs.define
class ReadRules:
    """A rules file and what it says."""

    text: str
    rule_set: rules.RuleSet


def slope(costs: list[Cost], field: str) -> float:
    """Return the growth of a cost a unit of size, first to last size."""
    first, last = costs[0], costs[-1]
    risen = float(getattr(last, field) - getattr(first, field))
    return risen / (last.size - first.size)


def heartbeat_round(size: int) -> Cost:
    """Return the cost of a round of heartbeats among entries."""
    names = [vm.name for vm in listed(size, 0)]
    members = membership.Members()
    received = membership_messages.Heartbeat(names[1])

    def round_once() -> None:
        watched = membership.watched(names, names[0])
        membership.expect(members, watched, 0)
        for _ in watched:
            membership.record_heartbeat(members, received, 0)
            links.encode(received)
        membership.mark_missing(members, watched, 0)
        membership.remove_expired(members, set(names), 0)

    return Cost(size, _fastest_us(round_once))


def endpoint_table(size: int) -> Cost:
    """Return the cost of a refresh, and of the table's memory."""
    known = listed(1, size)
    rule_set = rules_text(1).rule_set

    def refresh() -> endpoints.EndpointTable:
        table = endpoints.EndpointTable()
        endpoints.update_vms(table, known)
        return table

    table = refresh()

    def refresh_again() -> None:
        endpoints.update_vms(table, known)
        endpoints.apply_rules(table, rule_set, 0)

    return Cost(size, _fastest_us(refresh_again), _memory_kib(refresh))


def vm_table(size: int) -> Cost:
    """Return the cost of taking a VM list over, and of its memory."""

    def take() -> vm_lists.ListHolder:
        holder = vm_lists.ListHolder()
        vm_lists.replace(holder, listed(size, 0))
        holder.recent.clear()
        return holder

    return Cost(size, _fastest_us(take), _memory_kib(take))


def organisations(size: int) -> Cost:
    """Return the cost of reading rules, and of their memory."""

    def read() -> ReadRules:
        return rules_text(size)

    return Cost(size, _fastest_us(read), _memory_kib(read))


def exchange_us() -> float:
    """Return the processor time of one side of a question and its answer."""
    return curio.run(_exchange_us)


async def _exchange_us() -> float:
    state = node.NodeState(settings.Node('a', 'b', 'c'), vms.VmRole.entry)
    with socket.create_server((loopback.HOST, 0)) as listener:
        near = socket.create_connection(listener.getsockname())
        far = listener.accept()[0]
    server = peers.PeerServer(state)
    serving = await curio.spawn(server.serve, curio.io.Socket(far), '')
    link = links.accept(curio.io.Socket(near))
    start_s = time.process_time()
    for _ in range(EXCHANGES):
        await link.call(messages.ConfigurationRequest(1))
    taken_s = time.process_time() - start_s
    await link.close()
    await serving.join()
    return taken_s / EXCHANGES / 2 * US_IN_S


def exchange_bytes(sent: object, reply: object) -> int:
    """Return the bytes of a question and its answer."""
    return len(links.encode(sent)) + len(links.encode(reply))


def heartbeat_bytes() -> int:
    """Return the bytes of an exchange of heartbeats."""
    heartbeat = membership_messages.Heartbeat('levis-nord-entry-100', 100000)
    return exchange_bytes(heartbeat, heartbeat)


def compare_bytes() -> int:
    """Return the bytes of comparing revision and VM list once."""
    revision = exchange_bytes(
        messages.ConfigurationRequest(100000),
        messages.ConfigurationReply(100000),
    )
    digest = '0' * 2 * vm_lists.DIGEST_BYTES
    return revision + exchange_bytes(
        messages.VmListRequest(digest),
        messages.VmListReply(digest),
    )


def vm_change_bytes() -> int:
    """Return the bytes of one change of the VM list."""
    digest = '0' * 2 * vm_lists.DIGEST_BYTES
    vm = listed(1, 0)[0]
    change = vm_lists.ListChange(digest, digest, [vm.name], [vm])
    return len(links.encode(messages.VmListReply(digest, [change])))


def listed(entries: int, agents: int) -> list[vms.Vm]:
    """Return a VM list of some size."""
    found = [_vm(number, vms.VmRole.entry) for number in range(entries)]
    found.extend(_vm(number, vms.VmRole.agent) for number in range(agents))
    return found


def _vm(number: int, role: vms.VmRole) -> vms.Vm:
    return vms.Vm(
        name=f'levis-nord-{role.value}-{number}',
        role=role,
        state=vms.VmState.live,
        region='qc-est',
        data_centre=f'place-{number % 8}',
        peers_address=f'10.0.{number // 250}.{number % 250}:7400',
        callers_address=f'10.0.{number // 250}.{number % 250}:443',
        service='redacteur' if role is vms.VmRole.agent else '',
    )


def rules_text(size: int) -> ReadRules:
    """Return the text and the rules of some organisations."""
    lines = [
        f'organisation name=customer-{number} in_flight=40  # accounts'
        for number in range(size)
    ]
    text = '\n'.join([*lines, ''])
    return ReadRules(text, rule_reader.parse(text)[0])


def _fastest_us(step: abc.Callable[[], object]) -> float:
    taken_s = []
    for _ in range(REPEATS):
        start_s = time.perf_counter()
        step()
        taken_s.append(time.perf_counter() - start_s)
    return min(taken_s) * US_IN_S


def _memory_kib(step: abc.Callable[[], object]) -> float:
    gc.collect()
    tracemalloc.start()
    held = [step()]
    gc.collect()
    held_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    held.clear()
    return held_bytes / KIB
