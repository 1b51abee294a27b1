"""Growth of control plane costs with nodes, endpoints and organisations.

The production functions run in this process on tables of several sizes.
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
    """Cost of a step at one size.

    :ivar size: Number of nodes, endpoints or organisations.
    :ivar processor_us: Elapsed time of the fastest of several runs.
    :ivar memory_kib: Memory that the result retains.
    """

    size: int
    processor_us: float = 0
    memory_kib: float = 0


@attrs.define
class ParsedRules:
    """The text of a rules file and the rules parsed from it."""

    text: str
    rule_set: rules.RuleSet


def slope(costs: list[Cost], field: str) -> float:
    """Return the growth of a cost per unit of size, from first to last size.

    :param costs: Costs by rising size.
    :param field: Field of the costs.
    """
    first, last = costs[0], costs[-1]
    increase = float(getattr(last, field) - getattr(first, field))
    return increase / (last.size - first.size)


def heartbeat_round(size: int) -> Cost:
    """Return the cost of one round of heartbeats at an entry.

    :param size: Number of entries.
    """
    names = [vm.name for vm in listed(size, 0)]
    members = membership.Members()
    received_heartbeat = membership_messages.Heartbeat(names[1])

    def run_round() -> None:
        watched = membership.watched(names, names[0])
        membership.expect(members, watched, 0)
        for _ in watched:
            membership.record_heartbeat(members, received_heartbeat, 0)
            links.encode(received_heartbeat)
        membership.mark_missing(members, watched, 0)
        membership.remove_expired(members, set(names), 0)

    return Cost(size, _fastest_us(run_round))


def endpoint_table(size: int) -> Cost:
    """Return the cost of refreshing an endpoint table, and its memory.

    :param size: Number of endpoints.
    """
    generated_vms = listed(1, size)
    rule_set = generate_rules(1).rule_set

    def refresh() -> endpoints.EndpointTable:
        table = endpoints.EndpointTable()
        endpoints.update_vms(table, generated_vms)
        return table

    table = refresh()

    def refresh_again() -> None:
        endpoints.update_vms(table, generated_vms)
        endpoints.apply_rules(table, rule_set, 0)

    return Cost(size, _fastest_us(refresh_again), _memory_kib(refresh))


def vm_table(size: int) -> Cost:
    """Return the cost of replacing the VM list, and its memory.

    :param size: Number of VMs.
    """

    def replace_list() -> vm_lists.ListHolder:
        holder = vm_lists.ListHolder()
        vm_lists.replace(holder, listed(size, 0))
        holder.recent.clear()
        return holder

    return Cost(size, _fastest_us(replace_list), _memory_kib(replace_list))


def organisations(size: int) -> Cost:
    """Return the cost of parsing rules, and their memory.

    :param size: Number of organisations.
    """

    def read() -> ParsedRules:
        return generate_rules(size)

    return Cost(size, _fastest_us(read), _memory_kib(read))


def exchange_us() -> float:
    """Return the processor time of one side of a request and its reply."""
    return curio.run(_exchange_us)


async def _exchange_us() -> float:
    state = node.NodeState(settings.Node('a', 'b', 'c'), vms.VmRole.entry)
    with socket.create_server((loopback.HOST, 0)) as listener:
        client_socket = socket.create_connection(listener.getsockname())
        server_socket = listener.accept()[0]
    server = peers.PeerServer(state)
    server_task = await curio.spawn(
        server.serve, curio.io.Socket(server_socket), ''
    )
    link = links.accept(curio.io.Socket(client_socket))
    start_s = time.process_time()
    for _ in range(EXCHANGES):
        await link.call(messages.ConfigurationRequest(1))
    spent_s = time.process_time() - start_s
    await link.close()
    await server_task.join()
    return spent_s / EXCHANGES / 2 * US_IN_S


def exchange_bytes(sent: object, reply: object) -> int:
    """Return the encoded size of a request and its reply in bytes."""
    return len(links.encode(sent)) + len(links.encode(reply))


def heartbeat_bytes() -> int:
    """Return the bytes of a heartbeat and its reply."""
    heartbeat = membership_messages.Heartbeat('levis-nord-entry-100', 100000)
    return exchange_bytes(heartbeat, heartbeat)


def compare_bytes() -> int:
    """Return the bytes of one comparison of the revision and the VM list."""
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
    """Return the bytes of a reply with one change of the VM list."""
    digest = '0' * 2 * vm_lists.DIGEST_BYTES
    vm = listed(1, 0)[0]
    change = vm_lists.ListChange(digest, digest, [vm.name], [vm])
    return len(links.encode(messages.VmListReply(digest, [change])))


def listed(entries: int, agents: int) -> list[vms.Vm]:
    """Return a VM list with a number of entries and agents."""
    generated_vms = [_vm(number, vms.VmRole.entry) for number in range(entries)]
    generated_vms.extend(
        _vm(number, vms.VmRole.agent) for number in range(agents)
    )
    return generated_vms


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


def generate_rules(size: int) -> ParsedRules:
    """Return generated rules for a number of organisations."""
    lines = [
        f'organisation name=customer-{number} in_flight=40  # accounts'
        for number in range(size)
    ]
    text = '\n'.join([*lines, ''])
    return ParsedRules(text, rule_reader.parse(text)[0])


def _fastest_us(step: abc.Callable[[], object]) -> float:
    """Return the elapsed time of the fastest of several calls, in us."""
    times_s = []
    for _ in range(REPEATS):
        start_s = time.perf_counter()
        step()
        times_s.append(time.perf_counter() - start_s)
    return min(times_s) * US_IN_S


def _memory_kib(step: abc.Callable[[], object]) -> float:
    """Return the memory that the result of a call retains, in KiB."""
    gc.collect()
    tracemalloc.start()
    retained = [step()]
    gc.collect()
    retained_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    retained.clear()
    return retained_bytes / KIB
