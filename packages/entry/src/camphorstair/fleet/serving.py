"""Starts, runs and shuts down an entry process of a fleet."""

import functools
import logging
import random
import signal

import attrs
import curio
from opentelemetry import metrics as metrics_api

from camphorstair.fleet import (
    absences,
    copy_serving,
    crash_reporting,
    directory,
    dispatch,
    following,
    gauges,
    instruments,
    internal_serving,
    joining,
    moving,
    quarantine_checks,
    quarantining,
    receiving,
    relaying,
    sensing,
    state,
    stopping,
)
from camphorstair_core import decoding
from camphorstair_core.fleet import crash_reports, membership, roster
from camphorstair_fleet import metrics_page
from camphorstair_platform import boot, store
from camphorstair_runtime import (
    bounded_logs,
    clocks,
    http_server,
    listening,
    metrics,
    settings,
    signals,
    supervising,
)

# Interval of the periodic work.
TICK_S = 0.1

_LOG = logging.getLogger(__name__)


@attrs.define(eq=False)
class Process:
    """The parts of a running entry.

    :ivar entry: The entry's state.
    :ivar dispatcher: Assigns endpoints.
    :ivar callers: The server for callers.
    :ivar joining: The membership of the entry.
    :ivar follower: Follows the store.
    :ivar crash_reporter: Exchanges reports of crashes with other entries.
    """

    entry: state.FleetEntry
    dispatcher: dispatch.Dispatcher
    callers: http_server.Server
    joining: joining.EntryMembership
    follower: following.Follower
    crash_reporter: crash_reporting.CrashReporter


def build(told: boot.BootSettings, meter: metrics_api.Meter) -> Process:
    """Return an entry process that has not started.

    :param told: The boot settings written by the platform.
    :param meter: Creates the metrics of the entry.
    """
    entry = state.FleetEntry(
        told, random.SystemRandom(), instruments.create(meter)
    )
    gauges.create(meter, entry)
    keeper = quarantining.QuarantineKeeper(
        entry, store.StoreClient(told.store.address)
    )
    dispatcher = dispatch.Dispatcher(
        entry, quarantine_checks.QuarantineCheck(entry, keeper)
    )
    receiver = receiving.Receiver(entry, dispatcher)
    return Process(
        entry,
        dispatcher,
        http_server.Server(
            receiver.handle,
            entry.caller_limits,
            refuses_late_requests=False,
            bodies=entry.kept_requests,
        ),
        joining.EntryMembership(entry, store.StoreClient(told.store.address)),
        following.Follower(entry, dispatcher),
        crash_reporting.CrashReporter(
            entry, dispatcher, store.StoreClient(told.store.address), keeper
        ),
    )


async def run(process: Process) -> None:
    """Serve until a termination signal, then finish requests in progress."""
    signal_socket = signals.watch(signal.SIGHUP)
    async with curio.TaskGroup(wait=any) as group:
        await group.spawn(serve, process)
        await group.spawn(metrics_page.serve, process.entry.settings.address)
        shutdown_task = await group.spawn(
            _stop_at_signal, process, signal_socket
        )
        await shutdown_task.wait()
    _LOG.info('stopped')


async def serve(process: Process) -> None:
    """Serve until cancelled.

    If a task fails, the others are cancelled and its error is raised.
    """
    entry = process.entry
    dispatcher = process.dispatcher
    group = curio.TaskGroup(wait=any)
    async with group:
        await _listen_all(group, process)
        await _spawn_kept(
            group,
            process.follower.run,
            process.follower.era_note.run,
            sensing.LoadListener(entry, dispatcher).run,
            dispatcher.slot_asker.run,
            process.joining.run,
            process.crash_reporter.run,
            functools.partial(_run_periodic_work, process),
        )
        _LOG.info(
            'listening',
            extra={'callers': entry.settings.callers_address},
        )
    for task in group.tasks:
        if task.exception is not None:
            raise task.exception


async def _spawn_kept(group: curio.TaskGroup, *tasks: supervising.Run) -> None:
    for run_task in tasks:
        await group.spawn(supervising.keep_running, run_task)


async def _stop_at_signal(
    process: Process,
    signal_socket: curio.io.Socket,
) -> None:
    await _wait_termination(process.entry, signal_socket)
    await stop(process)


async def stop(process: Process) -> None:
    """Stop serving; requests in progress are finished as far as possible."""
    await stopping.Stop(
        process.entry, process.dispatcher, process.callers, process.joining
    ).run()


async def _wait_termination(
    entry: state.FleetEntry,
    signal_socket: curio.io.Socket,
) -> None:
    """Reload the settings at each SIGHUP; return at any other signal.

    Only the bounds are reloaded.
    """
    while await signal_socket.recv(1) == bytes([signal.SIGHUP]):
        try:
            told = boot.decode(boot.path().read_bytes())
        except (OSError, decoding.FormatError) as error:
            _LOG.error(
                'settings not reloaded, the last ones stay in use: %s', error
            )
            continue
        entry.settings = attrs.evolve(entry.settings, bounds=told.bounds)
        _LOG.info('settings reloaded')


async def _listen_all(group: curio.TaskGroup, process: Process) -> None:
    """Listen at the addresses for callers, the directory and planners."""
    told = process.entry.settings
    directory_server = http_server.Server(
        directory.Directory(process.entry).handle
    )
    await _listen(group, told.callers_address, process.callers)
    await _listen(group, told.ready_address, directory_server)
    await _listen(group, told.directory_address, directory_server)
    internal = internal_serving.InternalService(
        relaying.Relay(process.entry),
        copy_serving.CopyService(
            process.follower.mirror, lambda: process.entry.informed
        ),
    )
    internal_address = f'{told.address}:{told.internal_port}'
    await _listen(group, internal_address, http_server.Server(internal.handle))


async def _listen(
    group: curio.TaskGroup,
    address: str,
    server: http_server.Server,
) -> None:
    """Start a server, unless its address is empty."""
    if address:
        host, port = settings.split_address(address)
        await group.spawn(listening.serve(host, port, server.serve))


async def _run_periodic_work(process: Process) -> None:
    """Periodically expire endpoints, members and idle connections.

    Also moves streams away from slow ranks, drops queued requests whose time
    has run out and assigns free endpoints to the others.
    """
    entry = process.entry
    absent = absences.Absences(entry)
    while True:
        await curio.sleep(TICK_S)
        now_s = clocks.monotonic_s()
        for name in roster.expire(entry.endpoints, now_s):
            _LOG.info('endpoint did not come back', extra={'endpoint': name})
        for forgotten in absent.expire(now_s):
            _LOG.info('endpoint forgotten', extra={'endpoint': forgotten})
        membership.expire(entry.members, now_s)
        crash_reports.expire(entry.crashes.history, now_s)
        for part in entry.crashes.quarantined.expire(now_s):
            _LOG.info('quarantine ended', extra={'part': part})
        await entry.connection_pool.expire(now_s)
        moving.move_from_slow_ranks(entry, process.dispatcher)
        await process.dispatcher.serve_queues()


def main() -> None:
    """Run an entry with the settings that the platform wrote."""
    told = boot.decode(boot.path().read_bytes())
    bounded_logs.set_up(told.name, 'INFO')
    curio.run(run, build(told, metrics.start(told.name)))
    signals.ignore()
