"""Configuration through failures, with real processes."""

import json
import pathlib
import subprocess
from concurrent import futures

import pytest

from camphorstair_standins import fleet, loopback

LIMIT_S = 30
CONFLICT = 3
COMMENT = '# written by a test'


def _settings(running: fleet.Fleet) -> tuple[str, str]:
    return '--settings', str(running.settings_path(running.entries[0].name))


def _revisions(running: fleet.Fleet) -> dict[str, int]:
    done = running.command('status', *_settings(running), '--json')
    return {one['node']: one['revision'] for one in json.loads(done.stdout)}


def _wait_everywhere(running: fleet.Fleet, revision: int, nodes: int) -> None:
    def everywhere() -> bool:
        found = list(_revisions(running).values())
        return found.count(revision) == len(found) == nodes

    loopback.wait_for(everywhere, LIMIT_S)


def _history(running: fleet.Fleet) -> list[dict[str, object]]:
    done = running.command('history', *_settings(running), '--json')
    found: list[dict[str, object]] = json.loads(done.stdout)
    return found


def _faults(running: fleet.Fleet, **faults: object) -> None:
    body = json.dumps(faults).encode()
    loopback.http_call(running.key_value_address, '/faults', body)


def _apply(
    running: fleet.Fleet,
    path: pathlib.Path,
) -> subprocess.CompletedProcess[str]:
    return running.command('apply', str(path), *_settings(running))


def _append(running: fleet.Fleet, line: str) -> int:
    """Apply one more line and return the revision."""
    text = running.rules_path.read_text(encoding='utf-8')
    changed = f'{text}{COMMENT}: {line}\n'
    running.rules_path.write_text(changed, encoding='utf-8')
    running.apply()
    return int(str(_history(running)[0]['revision']))


def _fork(running: fleet.Fleet, path: pathlib.Path, line: str) -> pathlib.Path:
    """Write a file made from the revision in force, with one more line."""
    running.command('show', *_settings(running), '--output', str(path))
    text = path.read_text(encoding='utf-8')
    path.write_text(f'{text}{line}\n', encoding='utf-8')
    return path


def test_of_two_racing_applies_one_gets_a_conflict(
    small_fleet: fleet.Fleet,
    tmp_path: pathlib.Path,
) -> None:
    lines = [f'{COMMENT}: racer {number}' for number in range(2)]
    paths = [
        _fork(small_fleet, tmp_path / f'{number}.txt', line)
        for number, line in enumerate(lines)
    ]
    with futures.ThreadPoolExecutor() as pool:
        done = list(pool.map(lambda path: _apply(small_fleet, path), paths))
    codes = [one.returncode for one in done]
    assert sorted(codes) == [0, CONFLICT]
    loser = codes.index(CONFLICT)
    assert f'+{lines[1 - loser]}' in done[loser].stderr
    accepted = str(_history(small_fleet)[0]['edits'])
    assert lines[1 - loser] in accepted
    output = str(small_fleet.rules_path)
    small_fleet.command('show', *_settings(small_fleet), '--output', output)


def test_what_one_process_has_spreads_while_the_platform_is_down(
    small_fleet: fleet.Fleet,
) -> None:
    nodes = len(small_fleet.listed)
    before = _append(small_fleet, 'before the outage')
    agent = small_fleet.agents[0].name
    small_fleet.processes.kill(agent)
    after = _append(small_fleet, 'not at the agent')
    assert after == before + 1
    _faults(small_fleet, outage=True)
    small_fleet.start_vm(small_fleet.agents[0])
    _wait_everywhere(small_fleet, after, nodes)
    _faults(small_fleet)
    log = _log(small_fleet, agent)
    assert 'first configuration comes from peer' in log


def test_a_restarted_entry_takes_the_highest_revision_of_its_peers(
    small_fleet: fleet.Fleet,
) -> None:
    nodes = len(small_fleet.listed)
    revision = _append(small_fleet, 'before the entry dies')
    _faults(small_fleet, outage=True)
    entry = small_fleet.entries[-1]
    small_fleet.processes.kill(entry.name)
    small_fleet.start_vm(entry)
    _wait_everywhere(small_fleet, revision, nodes)
    _faults(small_fleet)


def test_without_one_watcher_a_change_is_in_force_everywhere(
    small_fleet: fleet.Fleet,
) -> None:
    entry = small_fleet.entries[-1]
    small_fleet.processes.kill(entry.name)
    revision = _append(small_fleet, 'without a watcher')
    _wait_everywhere(small_fleet, revision, len(small_fleet.listed) - 1)
    small_fleet.start_vm(entry)
    _wait_everywhere(small_fleet, revision, len(small_fleet.listed))


def test_an_older_copy_lowers_nothing_and_is_restored(
    small_fleet: fleet.Fleet,
) -> None:
    nodes = len(small_fleet.listed)
    _faults(small_fleet, keep_copy=True)
    revision = _append(small_fleet, 'lost by the platform')
    _faults(small_fleet, restore_copy=True)
    entry = small_fleet.entries[0].name
    loopback.wait_for(
        lambda: 'the next apply restores it' in _log(small_fleet, entry),
        LIMIT_S,
    )
    assert set(_revisions(small_fleet).values()) == {revision}
    assert _append(small_fleet, 'after the restore') == revision + 1
    _wait_everywhere(small_fleet, revision + 1, nodes)
    notes = [one['note'] for one in _history(small_fleet)]
    assert 'older copy' in str(notes[1])


def test_a_lost_answer_is_settled(small_fleet: fleet.Fleet) -> None:
    before = int(str(_history(small_fleet)[0]['revision']))
    _faults(small_fleet, lost_answers=1)
    assert _append(small_fleet, 'its answer is lost') == before + 1
    assert len({one['revision'] for one in _history(small_fleet)}) >= before


def test_an_apply_in_an_outage_changes_nothing(
    small_fleet: fleet.Fleet,
) -> None:
    _faults(small_fleet, outage=True)
    done = _apply(small_fleet, small_fleet.rules_path)
    _faults(small_fleet)
    assert done.returncode == 6
    assert 'nothing is changed' in done.stderr


@pytest.mark.parametrize(
    ('words', 'answer'),
    [
        (('explain', 'gravier', 'POST', '/bookings'), 'must not be repeated'),
        (('explain', 'nobody', 'GET', '/x'), 'refused'),
        (('history', '--limit', '1'), 'revision'),
    ],
)
def test_the_commands_answer(
    small_fleet: fleet.Fleet,
    words: tuple[str, ...],
    answer: str,
) -> None:
    done = small_fleet.command(*words, *_settings(small_fleet))
    assert answer in done.stdout


def _log(running: fleet.Fleet, name: str) -> str:
    found = running.directory.glob(f'{name}*.log')
    return ''.join(path.read_text(encoding='utf-8') for path in found)
