"""Claims idempotency key slots of the service in the platform's slot map.

Each key belongs to a slot, and the map names the endpoint that owns each slot.
Only the owner runs non-idempotent requests with the slot's keys.
"""

import logging
import random

import attrs
import curio
import msgspec

from camphorstair_core import decoding, idempotency, ownership, rules, vms
from camphorstair_runtime import clocks, node, platform

KEY_PREFIX = 'camphorstair/keys/'
POLL_INTERVAL_S = 0.25
UNSETTLED_INTERVAL_S = 1.0
SETTLED_INTERVAL_S = 10.0
JITTER_FACTORS = (0.8, 1.2)

_LOG = logging.getLogger(__name__)


@attrs.define
class Claimer:
    """Keeps the slot map and this agent's claims up to date.

    :ivar state: State of this process that all its components share.
    :ivar client: Client of the platform, which stores the map.
    :ivar claims: The key slots that this agent owns.
    :ivar table: The keys that this agent has run.
    :ivar generator: Source of the jitter between reads of the map.
    :ivar members: The endpoints of the service when the map was last read;
        None forces another read.
    :ivar next_read_s: Time of the next read of the map; monotonic clock.
    """

    state: node.NodeState
    client: platform.PlatformClient
    claims: ownership.Claims
    table: idempotency.KeyTable
    generator: random.Random
    members: ownership.Members | None = None
    next_read_s: float = 0

    async def run(self) -> None:
        """Claim and release slots until cancelled.

        The map is read when the endpoints change or the interval has passed,
        and only while the rules need idempotency keys for the service.
        """
        while True:
            members = self._current_members()
            changed = members != self.members
            is_due = clocks.monotonic_s() >= self.next_read_s
            if members.listed and self._needs_claims() and (is_due or changed):
                await self.synchronise()
            await curio.sleep(POLL_INTERVAL_S)

    async def synchronise(self) -> None:
        """Read the map, and write it if slots have to change owners.

        Errors of the platform are logged; the next read tries again.
        """
        self.members = self._current_members()
        interval_s = UNSETTLED_INTERVAL_S
        try:
            if await self._update_map(self.members):
                interval_s = SETTLED_INTERVAL_S
        except (platform.PlatformError, msgspec.DecodeError) as error:
            _LOG.warning('updating the key slot map failed: %s', error)
        jitter_factor = self.generator.uniform(*JITTER_FACTORS)
        self.next_read_s = clocks.monotonic_s() + interval_s * jitter_factor

    async def _update_map(self, members: ownership.Members) -> bool:
        """Read and update the map.

        :returns: Whether this agent owns all slots that it should own.
        """
        claims = self.claims
        request_start_s = clocks.monotonic_s()
        name = f'{KEY_PREFIX}{claims.service}'
        stored = await self.client.get(name)
        if stored.mod_revision:
            slot_map = decoding.from_json(stored.value, ownership.SlotMap)
            ownership.apply_map(
                claims, slot_map, request_start_s, clocks.moment()
            )
        else:
            slot_map = ownership.first_map(claims.service, members)
        planned_map = ownership.plan(
            claims,
            slot_map,
            members,
            clocks.moment(),
            self._keys_of_slot,
        )
        if planned_map != slot_map:
            await self._write_map(name, stored.mod_revision, planned_map)
        return ownership.owns_preferred_slots(claims, planned_map, members)

    async def _write_map(
        self,
        name: str,
        mod_revision: int,
        planned_map: ownership.SlotMap,
    ) -> None:
        """Write the map unless it has changed since it was read.

        On a conflict, ``members`` is cleared so that the map is read again.
        """
        request_start_s = clocks.monotonic_s()
        encoded = msgspec.json.encode(planned_map)
        if await self.client.compare_and_swap(name, mod_revision, encoded):
            moment = clocks.moment()
            ownership.apply_map(
                self.claims, planned_map, request_start_s, moment
            )
            slot_count = len(self.claims.slots)
            _LOG.info('key slot map updated', extra={'slots': slot_count})
        else:
            self.members = None

    def _keys_of_slot(self, slot: int) -> list[str]:
        return idempotency.keys_of_slot(self.table, self.claims, slot)

    def _needs_claims(self) -> bool:
        """Return whether any route of the service is not idempotent."""
        routes = self.state.holder.rule_set.routes
        return any(
            route.service == self.claims.service and not route.idempotent
            for route in routes
        )

    def _current_members(self) -> ownership.Members:
        """Return the listed and the available endpoints of the service."""
        rule_set = self.state.holder.rule_set
        endpoints = [
            vm
            for vm in self.state.listed
            if vm.role is vms.VmRole.agent and vm.service == self.claims.service
        ]
        available = [
            vm.name
            for vm in endpoints
            if _available(vm, rule_set) and not self._is_leaving(vm)
        ]
        listed = frozenset(vm.name for vm in endpoints)
        return ownership.Members(listed, sorted(available))

    def _is_leaving(self, vm: vms.Vm) -> bool:
        """Return whether a VM is this one, and it is shutting down."""
        return self.state.leaving and vm.name == self.claims.name


def _available(vm: vms.Vm, rule_set: rules.RuleSet) -> bool:
    """Return whether a VM is live and not taken out of service by the rules."""
    out = (
        vm.data_centre in rule_set.data_centres_out
        or vm.name in rule_set.endpoints_out
    )
    return vm.state is vms.VmState.live and not out
