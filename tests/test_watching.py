"""How a process follows the configuration while the platform or peers fail."""

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

TIMEOUT_S = 20
Condition = abc.Callable[[], bool]


async def _accept_text(client: platform.PlatformClient, text: str) -> None:
    """Accept a text as the next revision in the store of the platform."""
    stored = await configuration_store.read(client)
    author = changes.Author('me', 1)
    plan = acceptance.prepare(stored, text, author)
    assert await acceptance.accept(client, plan, _no_revision)


async def _no_revision() -> int:
    """Return 0 as the highest revision in force at any process."""
    return 0


def _entry_state(name: str, revision: int = 0) -> node.NodeState:
    """Return the state of an entry that has a revision in force."""
    identity = settings.Node(name, 'r', 'dc')
    state = node.NodeState(identity, vms.VmRole.entry)
    text = f'# {revision}'
    current = configuration.Configuration(revision, f'id{revision}', text)
    configuration.apply_if_newer(state.holder, current)
    return state


async def _wait_until(condition: Condition) -> None:
    """Wait until a condition holds; raise an error at the time limit."""

    async def poll() -> None:
        while not condition():
            await curio.sleep(0.01)

    await curio.timeout_after(TIMEOUT_S, poll)


@attrs.define
class WatchedNode:
    """A platform watcher that runs in its own task, and its platform.

    :ivar state: State of the node, which the watcher updates.
    :ivar client: Client of the platform for the test.
    :ivar bench: Stand-in for the platform's key-value store.
    """

    state: node.NodeState
    client: platform.PlatformClient
    bench: key_value_bench.Bench

    def set_faults(self, **faults: typing.Any) -> None:
        """Replace the faults that the platform's stand-in injects.

        :param faults: Fields of the stand-in's faults; none ends all faults.
        """
        self.bench.service.inject_faults(key_value.Faults(**faults))

    async def wait_for_revision(self, revision: int) -> None:
        """Wait until the node has a revision in force."""
        await _wait_until(lambda: self.state.holder.revision() == revision)


Scenario = abc.Callable[[WatchedNode], abc.Awaitable[None]]


def _run_scenario(scenario: Scenario) -> None:
    """Run a scenario with a platform watcher in the background."""
    bench = key_value_bench.Bench()

    async def body(client: platform.PlatformClient) -> None:
        state = _entry_state('me')
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
        await scenario(WatchedNode(state, client, bench))
        await task.cancel()
        await watcher.stop()

    bench.run(body)


def test_change_is_received_by_watch_without_polling() -> None:
    async def scenario(watched_node: WatchedNode) -> None:
        await _accept_text(watched_node.client, '# a')
        await watched_node.wait_for_revision(1)
        calls = watched_node.bench.service.usage.calls
        await _wait_until(lambda: '/v3/watch' in calls)
        before = calls['/v3/kv/range']
        await _accept_text(watched_node.client, '# b')
        await watched_node.wait_for_revision(2)
        # The accepting client reads twice, the watcher once, for the delta.
        assert calls['/v3/kv/range'] - before <= 4
        assert len(watched_node.state.holder.recent) == 1

    _run_scenario(scenario)


def test_change_is_noticed_despite_silently_broken_watch(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A change is noticed although the watch reports nothing.

    The watcher reads the head about every GUARD_INTERVAL_S in any case.
    """
    monkeypatch.setattr(watching, 'GUARD_INTERVAL_S', 0.2)

    async def scenario(watched_node: WatchedNode) -> None:
        watched_node.set_faults(silent_watches=True)
        await _accept_text(watched_node.client, '# a')
        await watched_node.wait_for_revision(1)
        await _accept_text(watched_node.client, '# b')
        await watched_node.wait_for_revision(2)

    _run_scenario(scenario)


def test_last_revision_stays_in_force_during_store_outage() -> None:
    async def scenario(watched_node: WatchedNode) -> None:
        await _accept_text(watched_node.client, '# a')
        await watched_node.wait_for_revision(1)
        watched_node.set_faults(outage=True)
        await curio.sleep(0.3)
        assert watched_node.state.holder.revision() == 1
        watched_node.set_faults()
        await _accept_text(watched_node.client, '# b')
        await watched_node.wait_for_revision(2)

    _run_scenario(scenario)


def test_store_rollback_does_not_lower_revision(
    caplog: pytest.LogCaptureFixture,
) -> None:
    async def scenario(watched_node: WatchedNode) -> None:
        await _accept_text(watched_node.client, '# a')
        watched_node.set_faults(keep_copy=True)
        await _accept_text(watched_node.client, '# b')
        await watched_node.wait_for_revision(2)
        watched_node.set_faults(restore_copy=True, outage=True)
        await curio.sleep(0.1)
        watched_node.set_faults()
        await _wait_until(lambda: 'stays in force' in caplog.text)
        assert watched_node.state.holder.revision() == 2

    _run_scenario(scenario)
    assert caplog.text.count('the next apply restores it') == 1


def test_corrupt_head_keeps_last_valid_revision_in_force(
    caplog: pytest.LogCaptureFixture,
) -> None:
    key = configuration_values.HEAD_KEY

    async def scenario(watched_node: WatchedNode) -> None:
        await _accept_text(watched_node.client, '# a')
        await watched_node.wait_for_revision(1)
        stored_head = await watched_node.client.get(key)
        await watched_node.client.compare_and_swap(
            key, stored_head.mod_revision, b'{"rev'
        )
        await _wait_until(lambda: 'platform' in caplog.text)
        assert watched_node.state.holder.revision() == 1
        corrupt_head = await watched_node.client.get(key)
        await watched_node.client.compare_and_swap(
            key, corrupt_head.mod_revision, stored_head.value
        )
        await _accept_text(watched_node.client, '# b')
        await watched_node.wait_for_revision(2)

    _run_scenario(scenario)


def test_watcher_behind_all_kept_changes_catches_up(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(configuration_store, 'SNAPSHOT_CHANGES', 2)
    monkeypatch.setattr(configuration_store, 'CHANGES_KEPT', 3)

    async def scenario(watched_node: WatchedNode) -> None:
        await _accept_text(watched_node.client, '# 1')
        await watched_node.wait_for_revision(1)
        watched_node.set_faults(silent_watches=True)
        for number in range(2, 12):
            await _accept_text(watched_node.client, f'# {number}')
        watched_node.set_faults()
        await watched_node.wait_for_revision(11)

    _run_scenario(scenario)


async def _serve_peer(state: node.NodeState) -> tuple[vms.Vm, curio.Task]:
    """Start a peer server with a state; return its VM and its task."""
    address = loopback.free_address()
    server = peers.PeerServer(state)
    task = await curio.spawn(
        listening.serve,
        *settings.split_address(address),
        server.serve,
    )
    # The listener's task has to run before a connect can succeed.
    await curio.sleep(0)
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
    """Return a follower that knows some VMs but reaches no platform.

    :param listed: VMs that the follower may ask.
    """
    taking.apply_vm_list(state, listed)
    unused_address = loopback.free_address()
    client = platform.PlatformClient([unused_address])
    generator = random.Random(2)
    return following.Follower(
        state, client, unused_address, lambda: None, generator
    )


async def _start_without_platform(revisions: tuple[int, int]) -> int:
    """Start a follower with two peers; return the revision that it gets.

    :param revisions: Revisions of the peers, of which one is 5.
    """
    first, second = revisions
    served_peers = [
        await _serve_peer(_entry_state('first', first)),
        await _serve_peer(_entry_state('second', second)),
    ]
    state = _entry_state('me')
    listed = [vm for vm, _task in served_peers]
    follower = _follower(state, listed)
    task = await curio.spawn(follower.run)
    await _wait_until(lambda: state.holder.revision() == 5)
    await task.cancel()
    for _vm, server_task in served_peers:
        await server_task.cancel()
    return state.holder.revision()


@pytest.mark.parametrize('revisions', [(3, 5), (5, 3)])
def test_start_in_outage_takes_highest_peer_revision(
    caplog: pytest.LogCaptureFixture,
    monkeypatch: pytest.MonkeyPatch,
    revisions: tuple[int, int],
) -> None:
    # The follower runs a single round in the time of the test.
    monkeypatch.setattr(following, 'FOLLOW_INTERVAL_S', 1000)
    caplog.set_level(logging.INFO)
    assert curio.run(_start_without_platform, revisions) == 5
    assert 'first configuration comes from peer' in caplog.text


async def _start_alone(caplog: pytest.LogCaptureFixture) -> int:
    """Start a follower without platform and peers; return its revision."""
    state = _entry_state('me')
    follower = _follower(state, [])
    task = await curio.spawn(follower.run)
    await _wait_until(lambda: 'nothing is served' in caplog.text)
    await task.cancel()
    return state.holder.revision()


def test_start_without_store_or_peers_logs_nothing_is_served(
    caplog: pytest.LogCaptureFixture,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(following, 'FOLLOW_INTERVAL_S', 0.05)
    assert curio.run(_start_alone, caplog) == 0


async def _detect_newer_revision() -> bool:
    """Return whether a peer's newer revision requests a refresh.

    A Hello with the same revision must not request one.
    """
    state = _entry_state('me', 3)
    vm, server_task = await _serve_peer(state)
    address = settings.split_address(vm.peers_address)
    hello = messages.Hello('other', 'dc', 3)
    await peers.call(address, None, hello, 1)
    before = state.refresh_requested.is_set()
    await peers.call(address, None, attrs.evolve(hello, revision=4), 1)
    await server_task.cancel()
    return not before and state.refresh_requested.is_set()


def test_newer_revision_in_peer_hello_requests_refresh() -> None:
    assert curio.run(_detect_newer_revision)


async def _follow_deltas() -> tuple[int, int]:
    """Return how many deltas a follower gets, and its revision afterwards."""
    source, follower = _entry_state('p', 1), _entry_state('me', 1)
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


def test_slightly_outdated_follower_gets_deltas() -> None:
    assert curio.run(_follow_deltas) == (2, 3)
