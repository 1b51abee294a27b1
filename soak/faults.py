"""Injects the scheduled faults from outside the processes."""

import signal

import attrs
import curio

from camphorstair_platform_standins import documents
from soak import endpoint_faults, fleet, proxy, recording, schedule

STOP_LIMIT_S = documents.GRACE_S + 2


@attrs.define(eq=False)
class FaultInjector:
    """Injects the faults of a schedule into a fleet.

    :ivar running: The running fleet.
    """

    running: fleet.Fleet

    async def run(self, faults: list[schedule.Fault]) -> None:
        """Inject all faults, each in its own task; return when all are over."""
        async with curio.TaskGroup() as group:
            for fault in faults:
                await group.spawn(self._inject_at_start, fault)

    async def _inject_at_start(self, fault: schedule.Fault) -> None:
        await self.running.sleep_until(fault.at_s)
        if fault.kind not in schedule.PLANNED | schedule.REPORTS:
            self._record_period(fault)
        await self._inject(fault)

    def _record_period(self, fault: schedule.Fault) -> None:
        seen = self.running.seen
        end_s = fault.end_s + recording.FAULT_EFFECT_S
        period = recording.FaultPeriod(fault.at_s, end_s)
        seen.unplanned_fault_periods.append(period)
        if fault.kind in endpoint_faults.PROXY_MODES:
            seen.lost_answer_periods.append(period)

    async def _inject(self, fault: schedule.Fault) -> None:
        kind = schedule.Kind
        handlers = {
            kind.pause: self._pause,
            kind.kill: self._kill,
            kind.reload: self._reload,
            kind.terminate: self._terminate,
            kind.configure: self._configure,
            kind.revoke: self._configure,
            kind.store_silent: self._silence_store,
            kind.store_refuses: self._fail_store_calls,
            kind.store_loses_answers: self._fail_store_calls,
        }
        handler = handlers.get(fault.kind)
        if handler is None:
            await endpoint_faults.inject(self.running, fault)
        else:
            await handler(fault)

    async def _reload(self, fault: schedule.Fault) -> None:
        await self.running.entry_at(fault.target).reload()

    async def _pause(self, fault: schedule.Fault) -> None:
        entry = self.running.entry_at(fault.target)
        entry.send_signal(signal.SIGSTOP)
        await self.running.sleep_until(fault.end_s)
        entry.send_signal(signal.SIGCONT)
        self._record_interruption(entry)

    async def _kill(self, fault: schedule.Fault) -> None:
        entry = self.running.entry_at(fault.target)
        entry.stopping = True
        entry.send_signal(signal.SIGKILL)
        await entry.ended()
        await self._restart(entry)

    async def _terminate(self, fault: schedule.Fault) -> None:
        """Send SIGTERM to an entry, check its shutdown, and start it again.

        Records a broken promise if the entry is still running after
        ``STOP_LIMIT_S``, exits with an unexpected code, or cuts requests off.
        """
        running = self.running
        entry = self.running.entry_at(fault.target)
        process = entry.process
        if process is None or process.poll() is not None:
            return
        stopped_s = running.elapsed_s()
        # Another fault may kill the entry at the same time. An entry that is
        # still starting may die of SIGTERM: it does not handle signals yet
        # and has no requests in progress.
        allowed = {0, -signal.SIGKILL}
        if entry.starting():
            allowed.add(-signal.SIGTERM)
        entry.stopping = True
        entry.send_signal(signal.SIGTERM)
        try:
            async with curio.timeout_after(STOP_LIMIT_S):
                code = await entry.ended()
        except curio.TaskTimeout:
            running.seen.faults.append(f'{fault} did not end the entry')
            entry.send_signal(signal.SIGKILL)
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
            self._record_interruption(entry)

    def _record_interruption(self, entry: fleet.Entry) -> None:
        running = self.running
        running.seen.record_interruption(
            running.entries.index(entry), running.elapsed_s()
        )

    async def _silence_store(self, fault: schedule.Fault) -> None:
        store_proxy = self.running.entry_at(fault.target).store
        store_proxy.mode = proxy.Mode.silent
        await self.running.sleep_until(fault.end_s)
        store_proxy.mode = proxy.Mode.whole

    async def _fail_store_calls(self, fault: schedule.Fault) -> None:
        faults = self.running.store.faults
        refuses = fault.kind is schedule.Kind.store_refuses
        faults.refuses = refuses
        faults.loses_answers = not refuses
        await self.running.sleep_until(fault.end_s)
        faults.refuses = False
        faults.loses_answers = False

    async def _configure(self, fault: schedule.Fault) -> None:
        running = self.running
        if fault.kind is schedule.Kind.revoke and len(running.keys) > 2:
            key = sorted(running.keys)[fault.target % len(running.keys)]
            running.keys.remove(key)
            running.seen.revoked_s[key] = running.elapsed_s()
        running.configure()
