"""Brings faults about from outside the processes, and ends them."""

import signal
import types

import attrs
import curio

from camphorstair_platform_standins import documents
from soak import fleet, proxy, schedule, witness

STOP_LIMIT_S = documents.GRACE_S + 2

_ENDPOINT_MODES = types.MappingProxyType(
    {
        schedule.Kind.endpoint_silent: proxy.Mode.silent,
        schedule.Kind.endpoint_one_way: proxy.Mode.one_way,
        schedule.Kind.endpoint_resets: proxy.Mode.resets,
        schedule.Kind.endpoint_delayed: proxy.Mode.delayed,
    },
)


@attrs.define(eq=False)
class Striker:
    """Brings the faults of a schedule about.

    :ivar running: What runs.
    """

    running: fleet.Fleet

    async def run(self, faults: list[schedule.Fault]) -> None:
        """Bring all about, each in a task of its own; return after the last."""
        async with curio.TaskGroup() as group:
            for fault in faults:
                await group.spawn(self._strike_at, fault)

    async def _strike_at(self, fault: schedule.Fault) -> None:
        await curio.sleep(max(0, fault.at_s - self.running.elapsed_s()))
        if fault.kind not in schedule.PLANNED:
            end_s = fault.end_s + witness.AFTERMATH_S
            span = witness.Span(fault.at_s, end_s)
            self.running.seen.harm.append(span)
        await self._strike(fault)

    async def _strike(self, fault: schedule.Fault) -> None:
        kind = schedule.Kind
        strikes = {
            kind.pause: self._pause,
            kind.kill: self._kill,
            kind.reload: self._reload,
            kind.terminate: self._terminate,
            kind.endpoint_drains: self._drain,
            kind.configure: self._configure,
            kind.revoke: self._configure,
            kind.store_silent: self._silence_store,
            kind.store_refuses: self._harm_store,
            kind.store_loses_answers: self._harm_store,
        }
        await strikes.get(fault.kind, self._harm_endpoint)(fault)

    async def _reload(self, fault: schedule.Fault) -> None:
        self.running.entry_at(fault.target).signal(signal.SIGHUP)

    async def _pause(self, fault: schedule.Fault) -> None:
        entry = self.running.entry_at(fault.target)
        entry.signal(signal.SIGSTOP)
        await self._wait(fault)
        entry.signal(signal.SIGCONT)

    async def _kill(self, fault: schedule.Fault) -> None:
        entry = self.running.entry_at(fault.target)
        entry.stopping = True
        entry.signal(signal.SIGKILL)
        await entry.ended()
        await self._restart(entry)

    async def _terminate(self, fault: schedule.Fault) -> None:
        """Stop an entry in order; it has to end in time and cut nothing off."""
        running = self.running
        entry = self.running.entry_at(fault.target)
        stopped = entry.process
        if stopped is None or stopped.poll() is not None:
            return
        stopped_s = running.elapsed_s()
        # Nothing is in progress yet at one that does not handle signals.
        allowed = {0, -signal.SIGKILL}
        if entry.starting():
            allowed.add(-signal.SIGTERM)
        entry.stopping = True
        entry.signal(signal.SIGTERM)
        try:
            async with curio.timeout_after(STOP_LIMIT_S):
                code = await entry.ended()
        except curio.TaskTimeout:
            running.seen.faults.append(f'{fault} did not end the entry')
            entry.signal(signal.SIGKILL)
            code = await entry.ended()
        number = running.entries.index(entry)
        running.seen.faults.extend(running.seen.cut_off(number, stopped_s))
        if code not in allowed:
            running.seen.faults.append(f'{fault}: exit code {code}')
        await self._restart(entry)

    async def _restart(self, entry: fleet.Entry) -> None:
        await curio.sleep(fleet.RESTART_S)
        if entry.stopping:
            entry.start()

    async def _harm_endpoint(self, fault: schedule.Fault) -> None:
        name = self.running.endpoint_at(fault.target)
        way = self.running.ways[name]
        way.mode = _ENDPOINT_MODES[fault.kind]
        await self._wait(fault)
        way.mode = proxy.Mode.whole

    async def _silence_store(self, fault: schedule.Fault) -> None:
        way = self.running.entry_at(fault.target).store
        way.mode = proxy.Mode.silent
        await self._wait(fault)
        way.mode = proxy.Mode.whole

    async def _harm_store(self, fault: schedule.Fault) -> None:
        faults = self.running.store.faults
        refuses = fault.kind is schedule.Kind.store_refuses
        faults.refuses = refuses
        faults.loses_answers = not refuses
        await self._wait(fault)
        faults.refuses = False
        faults.loses_answers = False

    async def _drain(self, fault: schedule.Fault) -> None:
        """Replace an endpoint: the new one first, then the old one leaves."""
        running = self.running
        name = self.running.endpoint_at(fault.target)
        if name in running.seen.drained_s:
            return
        await running.add_endpoint()
        running.seen.drained_s[name] = running.elapsed_s()
        running.register(name, 'draining')
        await curio.sleep(2 * witness.DRAIN_S)
        running.store.remove(documents.registration_key(name))
        running.ways.pop(name)

    async def _configure(self, fault: schedule.Fault) -> None:
        running = self.running
        if fault.kind is schedule.Kind.revoke and len(running.keys) > 2:
            key = sorted(running.keys)[fault.target % len(running.keys)]
            running.keys.remove(key)
            running.seen.revoked_s[key] = running.elapsed_s()
        running.configure()

    async def _wait(self, fault: schedule.Fault) -> None:
        await curio.sleep(max(0, fault.end_s - self.running.elapsed_s()))
