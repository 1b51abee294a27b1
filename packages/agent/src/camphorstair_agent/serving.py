"""Starts, runs and shuts down the agent process."""

import functools
import logging
import pathlib
import random
import uuid

import attrs
import curio

from camphorstair_agent import (
    admission_queue,
    claiming,
    endpoint_watch,
    keyed,
    orders,
    relay,
)
from camphorstair_core import admission, outage_recovery, ownership, vms
from camphorstair_runtime import (
    announcing,
    clocks,
    following,
    leases,
    listening,
    logs,
    metrics,
    node,
    peers,
    platform,
    security,
    settings,
    shutdown,
    signals,
)

_LOG = logging.getLogger(__name__)


@attrs.define
class Agent:
    """State of an agent process.

    :ivar checked: The validated settings.
    :ivar state: State of this process that all its components share.
    :ivar gate: The admission control of the endpoint.
    :ivar outage: Whether the rules take the endpoint out of service.
    """

    checked: settings.AgentSettings
    state: node.NodeState
    gate: admission.Admission
    outage: outage_recovery.Outage = attrs.field(factory=outage_recovery.Outage)

    def refresh(self) -> None:
        """Apply the limits and outages of the rules in force.

        An endpoint that returns after a long outage starts cold.
        """
        rule_set = self.state.holder.rule_set
        name = self.state.identity.name
        service = self.checked.endpoint.service
        limits = rule_set.endpoints.get(name) or rule_set.services.get(service)
        if limits is not None:
            admission.set_limits(
                self.gate,
                limits.in_flight,
                limits.cold_in_flight,
            )
        self.gate.out = (
            name in rule_set.endpoints_out
            or self.state.identity.data_centre in rule_set.data_centres_out
        )
        starts_cold = outage_recovery.update_outage(
            self.outage,
            out=self.gate.out,
            now_s=clocks.monotonic_s(),
        )
        if starts_cold:
            admission.become_cold(self.gate)
        self.state.load = self.gate.load()


def build(checked: settings.AgentSettings) -> Agent:
    """Create the state of an agent, without starting any task."""
    state = node.NodeState(checked.node, vms.VmRole.agent)
    state.link_context = security.client_context(checked.security)
    return Agent(checked, state, admission.Admission())


async def run(agent: Agent) -> None:
    """Serve until a termination signal, then finish the running requests."""
    signal_socket = signals.watch()
    checked = agent.checked
    request_relay = _create_relay(agent)
    client = platform.PlatformClient(checked.platform.key_value)
    generator = random.Random(checked.node.name)
    claimer = claiming.Claimer(
        agent.state,
        client,
        request_relay.keyed.claims,
        request_relay.keyed.table,
        generator,
    )
    server = peers.PeerServer(
        agent.state,
        checked.endpoint.service,
        request_relay.run,
        answer_order=_create_order_gate(checked, client).answer,
    )
    follower = following.Follower(
        agent.state,
        client,
        checked.platform.vm_list,
        agent.refresh,
        generator,
    )
    async with curio.TaskGroup(wait=any) as group:
        await group.spawn(
            listening.serve(
                *settings.split_address(checked.listen.peers),
                server.serve,
                security.peers_context(checked.security),
            ),
        )
        await group.spawn(follower.run)
        await group.spawn(claimer.run)
        await group.spawn(_watch_endpoint, agent)
        await group.spawn(_announce_presence, agent)
        _LOG.info('listening', extra={'peers': checked.listen.peers})
        await signal_socket.recv(1)
        await _drain(agent, server, claimer)
        await group.cancel_remaining()


def _create_order_gate(
    checked: settings.AgentSettings,
    client: platform.PlatformClient,
) -> orders.OrderGate:
    read_fencing_number = functools.partial(leases.current_fencing, client)
    address = checked.endpoint.address
    exchange = functools.partial(orders.call_engine, address)
    return orders.OrderGate(exchange, read_fencing_number)


def _create_relay(agent: Agent) -> relay.Relay:
    checked = agent.checked
    instruments = metrics.set_up(checked.node.name)
    claims = ownership.Claims(
        checked.endpoint.service,
        checked.node.name,
        checked.listen.peers,
        uuid.uuid4().hex,
    )
    address = checked.endpoint.address
    queue = admission_queue.AdmissionQueue(agent.gate)
    return relay.Relay(
        agent.state,
        address,
        queue,
        instruments,
        keyed.KeyedRelay(address, queue, instruments, claims),
    )


async def _watch_endpoint(agent: Agent) -> None:
    address = agent.checked.endpoint.address
    await endpoint_watch.EndpointWatch(address, agent.gate).run()


async def _announce_presence(agent: Agent) -> None:
    await announcing.announce_presence(agent.state)
    await curio.Event().wait()


async def _drain(
    agent: Agent,
    server: peers.PeerServer,
    claimer: claiming.Claimer,
) -> None:
    """Refuse new requests, finish the running ones, then close the links.

    Entries that have been notified send no more requests. Requests already on
    the way are refused, and a request that arrives while its link closes is
    reported as not run. Requests with an idempotency key keep running after
    their entry has gone, so the shutdown waits for them as well.
    """
    agent.state.leaving = True
    agent.gate.leaving = True
    limit_s = agent.checked.shutdown.limit_s
    _LOG.info('shutting down', extra={'in_flight': server.running})
    async with curio.ignore_after(limit_s):
        await claimer.synchronise()
        await announcing.announce_leaving(agent.state, limit_s)
    await shutdown.wait_idle(
        lambda: max(server.running, agent.gate.in_flight),
        limit_s,
    )
    server.end_idle()
    await shutdown.wait_closed(server.idle_links)
    _LOG.info('stopped')


def main(path: str) -> None:
    """Run the agent with the settings file at a path."""
    checked = settings.load(pathlib.Path(path), settings.AgentSettings)
    logs.set_up(checked.node.name, checked.logging.level)
    curio.run(run, build(checked))
    signals.ignore()
