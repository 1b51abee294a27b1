"""Runs the agent."""

import functools
import logging
import pathlib
import random
import uuid

import attrs
import curio

from camphorstair_agent import (
    claiming,
    endpoint_watch,
    keyed,
    orders,
    relay,
    turns,
)
from camphorstair_core import admission, ownership, returning, vms
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
    """All state of an agent process."""

    checked: settings.AgentSettings
    state: node.NodeState
    gate: admission.Admission
    outage: returning.Outage = attrs.field(factory=returning.Outage)

    def refresh(self) -> None:
        """Take over the limits and outages of the rules in force."""
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
        begins_cold = returning.note_outage(
            self.outage,
            out=self.gate.out,
            now_s=clocks.monotonic_s(),
        )
        if begins_cold:
            admission.become_cold(self.gate)
        self.state.load = self.gate.load()


def build(checked: settings.AgentSettings) -> Agent:
    """Return the state of an agent that has not started."""
    state = node.NodeState(checked.node, vms.VmRole.agent)
    state.link_context = security.client_context(checked.security)
    return Agent(checked, state, admission.Admission())


async def run(agent: Agent) -> None:
    """Serve until a termination signal, then finish what runs."""
    terminated = signals.watch()
    checked = agent.checked
    runner = _relay(agent)
    client = platform.PlatformClient(checked.platform.key_value)
    generator = random.Random(checked.node.name)
    claimer = claiming.Claimer(
        agent.state,
        client,
        runner.keyed.claims,
        runner.keyed.table,
        generator,
    )
    server = peers.PeerServer(
        agent.state,
        checked.endpoint.service,
        runner.run,
        answer_order=_order_gate(checked, client).answer,
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
        await terminated.recv(1)
        await _drain(agent, server, claimer)
        await group.cancel_remaining()


def _order_gate(
    checked: settings.AgentSettings,
    client: platform.PlatformClient,
) -> orders.OrderGate:
    read_number = functools.partial(leases.current_fencing, client)
    address = checked.endpoint.address
    exchange = functools.partial(orders.exchange_with, address)
    return orders.OrderGate(exchange, read_number)


def _relay(agent: Agent) -> relay.Relay:
    checked = agent.checked
    instruments = metrics.set_up(checked.node.name)
    claims = ownership.Claims(
        checked.endpoint.service,
        checked.node.name,
        checked.listen.peers,
        uuid.uuid4().hex,
    )
    address = checked.endpoint.address
    queue = turns.Turns(agent.gate)
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
    """Refuse new requests, finish what runs, then end the links.

    Entries that heard of it send nothing more; what is still on its way is
    refused, and what arrives at the end of a link is answered as not run.
    Runs by key go on when their entry is gone, so they count as well.
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
    """Run the agent with the settings of a file."""
    checked = settings.load(pathlib.Path(path), settings.AgentSettings)
    logs.set_up(checked.node.name, checked.logging.level)
    curio.run(run, build(checked))
    signals.ignore()
