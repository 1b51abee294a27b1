"""Claims slots of the service's idempotency keys in the platform."""

import logging
import random

import attrs
import curio
import msgspec

from camphorstair_core import idempotency, ownership, rules, vms
from camphorstair_runtime import clocks, node, platform

KEY_PREFIX = 'camphorstair/keys/'
POLL_INTERVAL_S = 0.25
UNSETTLED_INTERVAL_S = 1.0
SETTLED_INTERVAL_S = 10.0
SPREAD_SHARES = (0.8, 1.2)

_LOG = logging.getLogger(__name__)


@attrs.define
class Claimer:
    """State of the task that keeps an agent's claims.

    :ivar state: The state of this process.
    :ivar client: The platform.
    :ivar claims: The agent's claims.
    :ivar table: The agent's key table.
    :ivar generator: Spreads the calls.
    :ivar members: The endpoints when the map was last read.
    :ivar call_deadline_s: When the map is read next; monotonic clock.
    """

    state: node.NodeState
    client: platform.PlatformClient
    claims: ownership.Claims
    table: idempotency.KeyTable
    generator: random.Random
    members: ownership.Members | None = None
    call_deadline_s: float = 0

    async def run(self) -> None:
        """Claim and give up slots until cancelled."""
        while True:
            members = self._members()
            changed = members != self.members
            due = clocks.monotonic_s() >= self.call_deadline_s
            if members.listed and self._needed() and (due or changed):
                await self.synchronise()
            await curio.sleep(POLL_INTERVAL_S)

    async def synchronise(self) -> None:
        """Read the map, and write it if slots change hands."""
        self.members = self._members()
        interval_s = UNSETTLED_INTERVAL_S
        try:
            if await self._synchronise(self.members):
                interval_s = SETTLED_INTERVAL_S
        except (platform.PlatformError, msgspec.DecodeError) as error:
            _LOG.warning('key slots: %s', error)
        spread = self.generator.uniform(*SPREAD_SHARES)
        self.call_deadline_s = clocks.monotonic_s() + interval_s * spread

    async def _synchronise(self, members: ownership.Members) -> bool:
        """Return whether all slots are where they should be."""
        claims = self.claims
        asked_s = clocks.monotonic_s()
        name = f'{KEY_PREFIX}{claims.service}'
        stored = await self.client.get(name)
        if stored.mod_revision:
            slot_map = msgspec.json.decode(
                stored.value,
                type=ownership.SlotMap,
            )
            ownership.observe(claims, slot_map, asked_s, clocks.moment())
        else:
            slot_map = ownership.first_map(claims.service, members)
        planned = ownership.plan(
            claims,
            slot_map,
            members,
            clocks.moment(),
            self._keys_of_slot,
        )
        if planned != slot_map:
            await self._write(name, stored.mod_revision, planned)
        return ownership.settled(claims, planned, members)

    async def _write(
        self,
        name: str,
        mod_revision: int,
        planned: ownership.SlotMap,
    ) -> None:
        asked_s = clocks.monotonic_s()
        encoded = msgspec.json.encode(planned)
        if await self.client.compare_and_swap(name, mod_revision, encoded):
            moment = clocks.moment()
            ownership.observe(self.claims, planned, asked_s, moment)
            held = len(self.claims.slots)
            _LOG.info('key slots changed', extra={'slots': held})
        else:
            self.members = None

    def _keys_of_slot(self, slot: int) -> list[str]:
        return idempotency.keys_of_slot(self.table, self.claims, slot)

    def _needed(self) -> bool:
        routes = self.state.holder.rule_set.routes
        return any(
            route.service == self.claims.service and not route.idempotent
            for route in routes
        )

    def _members(self) -> ownership.Members:
        rule_set = self.state.holder.rule_set
        endpoints = [
            vm
            for vm in self.state.listed
            if vm.role is vms.VmRole.agent and vm.service == self.claims.service
        ]
        available = [
            vm.name
            for vm in endpoints
            if _available(vm, rule_set) and not self._leaves(vm)
        ]
        listed = frozenset(vm.name for vm in endpoints)
        return ownership.Members(listed, sorted(available))

    def _leaves(self, vm: vms.Vm) -> bool:
        return self.state.leaving and vm.name == self.claims.name


def _available(vm: vms.Vm, rule_set: rules.RuleSet) -> bool:
    out = (
        vm.data_centre in rule_set.data_centres_out
        or vm.name in rule_set.endpoints_out
    )
    return vm.state is vms.VmState.live and not out
