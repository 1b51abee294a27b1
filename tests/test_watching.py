"""What a process does while the platform or its peers fail."""

import logging
import random
import typing
from collections import abc

import attrs
import curio
import pytest

from camphorstair import acceptance
from camphorstair_core import changes, configuration, messages, vms
from camphorstair_runtime import (
    configuration_store,
    configuration_values,
    following,
    listening,
    node,
    peers,
    platform,
    settings,
    taking,
    watching,
)
from camphorstair_standins import key_value, key_value_bench, loopback

LIMIT_S = 20
Condition = abc.Callable[[], bool]


async def _accept(client: platform.PlatformClient, text: str) -> None:
    stored = await configuration_store.read(client)
    author = changes.Author('me', 1)
    plan = acceptance.prepare(stored, text, author)
    assert await acceptance.accept(client, plan, _nothing_newer)


async def _nothing_newer() -> int:
    return 0


def _state(name: str, revision: int = 0) -> node.NodeState:
    identity = settings.Node(name, 'r', 'dc')
    state = node.NodeState(identity, vms.VmRole.entry)
    text = f'# {revision}'
    current = configuration.Configuration(revision, f'id{revision}', text)
    configuration.apply_if_newer(state.holder, current)
    return state


async def _until(condition: Condition) -> None:
    async def wait() -> None:
        while not condition():
            await curio.sleep(0.01)

    await curio.timeout_after(LIMIT_S, wait)


@attrs.define
class Watching:
    """A watcher in a task of its own, before the stand-in."""

    state: node.NodeState
    client: platform.PlatformClient
    bench: key_value_bench.Bench

    def fault(self, **faults: typing.Any) -> None:
        """Bring about faults of the platform."""
        self.bench.service.inject_faults(key_value.Faults(**faults))

    async def until(self, revision: int) -> None:
        """Wait until a revision is in force."""
        await _until(lambda: self.state.holder.revision() == revision)


Scenario = abc.Callable[[Watching], abc.Awaitable[None]]


def _watch(scenario: Scenario) -> None:
    bench = key_value_bench.Bench()

    async def body(client: platform.PlatformClient) -> None:
        state = _state('me')
        watcher = watching.PlatformWatcher(
            state,
            platform.PlatformClient(client.addresses),
            lambda: None,
            random.Random(1),
        )

        async def run() -> None:
            while True:
                await watcher.step()

        task = await curio.spawn(run)
        await scenario(Watching(state, client, bench))
        await task.cancel()
        await watcher.stop()

    bench.run(body)


def test_a_change_comes_by_the_watch_and_not_by_polling() -> None:
    async def scenario(one: Watching) -> None:
        await _accept(one.client, '# a')
        await one.until(1)
        calls = one.bench.service.usage.calls
        await _until(lambda: '/v3/watch' in calls)
        before = calls['/v3/kv/range']
        await _accept(one.client, '# b')
        await one.until(2)
        # Two reads by the one who accepts, one by the watcher for the delta.
        assert calls['/v3/kv/range'] - before <= 4
        assert len(one.state.holder.recent) == 1

    _watch(scenario)


def test_a_watch_that_broke_in_silence_is_found_out(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(watching, 'GUARD_INTERVAL_S', 0.2)

    async def scenario(one: Watching) -> None:
        one.fault(silent_watches=True)
        await _accept(one.client, '# a')
        await one.until(1)
        await _accept(one.client, '# b')
        await one.until(2)

    _watch(scenario)


def test_an_outage_keeps_the_last_revision_and_ends() -> None:
    async def scenario(one: Watching) -> None:
        await _accept(one.client, '# a')
        await one.until(1)
        one.fault(outage=True)
        await curio.sleep(0.3)
        assert one.state.holder.revision() == 1
        one.fault()
        await _accept(one.client, '# b')
        await one.until(2)

    _watch(scenario)


def test_an_older_copy_lowers_no_revision(
    caplog: pytest.LogCaptureFixture,
) -> None:
    async def scenario(one: Watching) -> None:
        await _accept(one.client, '# a')
        one.fault(keep_copy=True)
        await _accept(one.client, '# b')
        await one.until(2)
        one.fault(restore_copy=True, outage=True)
        await curio.sleep(0.1)
        one.fault()
        await _until(lambda: 'stays in force' in caplog.text)
        assert one.state.holder.revision() == 2

    _watch(scenario)
    assert caplog.text.count('the next apply restores it') == 1


def test_a_corrupt_head_leaves_the_last_good_in_force(
    caplog: pytest.LogCaptureFixture,
) -> None:
    key = configuration_values.HEAD_KEY

    async def scenario(one: Watching) -> None:
        await _accept(one.client, '# a')
        await one.until(1)
        found = await one.client.get(key)
        await one.client.compare_and_swap(key, found.mod_revision, b'{"rev')
        await _until(lambda: 'platform' in caplog.text)
        assert one.state.holder.revision() == 1
        corrupt = await one.client.get(key)
        await one.client.compare_and_swap(
            key, corrupt.mod_revision, found.value
        )
        await _accept(one.client, '# b')
        await one.until(2)

    _watch(scenario)


def test_a_watcher_that_is_far_behind_takes_a_whole_copy(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(configuration_store, 'SNAPSHOT_CHANGES', 2)
    monkeypatch.setattr(configuration_store, 'CHANGES_KEPT', 3)

    async def scenario(one: Watching) -> None:
        await _accept(one.client, '# 1')
        await one.until(1)
        one.fault(silent_watches=True)
        for number in range(2, 12):
            await _accept(one.client, f'# {number}')
        one.fault()
        await one.until(11)

    _watch(scenario)


async def _serve(state: node.NodeState) -> tuple[vms.Vm, curio.Task]:
    address = loopback.free_address()
    server = peers.PeerServer(state)
    task = await curio.spawn(
        listening.serve,
        *settings.split_address(address),
        server.serve,
    )
    name = state.identity.name
    vm = vms.Vm(
        name,
        vms.VmRole.entry,
        vms.VmState.live,
        'r',
        'dc',
        address,
    )
    return vm, task


def _follower(
    state: node.NodeState,
    listed: list[vms.Vm],
) -> following.Follower:
    taking.apply_vm_list(state, listed)
    absent = loopback.free_address()
    client = platform.PlatformClient([absent])
    generator = random.Random(2)
    return following.Follower(state, client, absent, lambda: None, generator)


async def _start_without_platform(revisions: tuple[int, int]) -> int:
    first, second = revisions
    served = [
        await _serve(_state('first', first)),
        await _serve(_state('second', second)),
    ]
    state = _state('me')
    listed = [vm for vm, _task in served]
    follower = _follower(state, listed)
    task = await curio.spawn(follower.run)
    await _until(lambda: state.holder.revision() == 5)
    await task.cancel()
    for _vm, server in served:
        await server.cancel()
    return state.holder.revision()


@pytest.mark.parametrize('revisions', [(3, 5), (5, 3)])
def test_a_start_without_platform_takes_the_highest_of_the_peers(
    caplog: pytest.LogCaptureFixture,
    monkeypatch: pytest.MonkeyPatch,
    revisions: tuple[int, int],
) -> None:
    # Only the first round counts.
    monkeypatch.setattr(following, 'FOLLOW_INTERVAL_S', 1000)
    caplog.set_level(logging.INFO)
    assert curio.run(_start_without_platform, revisions) == 5
    assert 'first configuration comes from peer' in caplog.text


async def _start_alone(caplog: pytest.LogCaptureFixture) -> int:
    state = _state('me')
    follower = _follower(state, [])
    task = await curio.spawn(follower.run)
    await _until(lambda: 'nothing is served' in caplog.text)
    await task.cancel()
    return state.holder.revision()


def test_without_any_source_it_says_why(
    caplog: pytest.LogCaptureFixture,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(following, 'FOLLOW_INTERVAL_S', 0.05)
    assert curio.run(_start_alone, caplog) == 0


async def _notice() -> bool:
    state = _state('me', 3)
    vm, server = await _serve(state)
    address = settings.split_address(vm.peers_address)
    hello = messages.Hello('other', 'dc', 3)
    await peers.call(address, None, hello, 1)
    before = state.refresh_requested.is_set()
    await peers.call(address, None, attrs.evolve(hello, revision=4), 1)
    await server.cancel()
    return not before and state.refresh_requested.is_set()


def test_a_newer_revision_at_another_process_is_noticed() -> None:
    assert curio.run(_notice)


async def _follow_deltas() -> tuple[int, int]:
    source, follower = _state('p', 1), _state('me', 1)
    for revision in (2, 3):
        old = source.holder.current
        assert old
        record = changes.build_change(
            changes.RulesText(old.revision, old.text),
            changes.RulesText(revision, f'# {revision}'),
            f'id{revision}',
            changes.Author('me', 1),
        )
        await taking.apply_configuration_changes(source, [record])
    request = watching.request(follower)
    reply = peers.configuration_reply(source, request)
    await taking.apply_configuration_reply(follower, reply)
    return len(reply.deltas), follower.holder.revision()


def test_a_recent_asker_gets_deltas() -> None:
    assert curio.run(_follow_deltas) == (2, 3)
