"""Configuration changes in a running fleet while parts of it fail.

The tests use real processes. They kill some of them, and make the platform's
store unreachable, lose its replies or restore it from an older copy.
"""

import json
import pathlib
import subprocess
from concurrent import futures

import pytest

from camphorstair_standins import fleet, loopback

TIMEOUT_S = 30
CONFLICT = 3
COMMENT_PREFIX = '# written by a test'


def _settings_option(running: fleet.Fleet) -> tuple[str, str]:
    """Return the command-line option with the settings of an entry."""
    return '--settings', str(running.settings_path(running.entries[0].name))


def _revisions(running: fleet.Fleet) -> dict[str, int]:
    """Return the revision in force at each node that reports its status."""
    completed = running.command('status', *_settings_option(running), '--json')
    return {
        node_status['node']: node_status['revision']
        for node_status in json.loads(completed.stdout)
    }


def _wait_for_revision(running: fleet.Fleet, revision: int, nodes: int) -> None:
    """Wait until all nodes have a revision in force.

    :param nodes: Number of nodes that must report their status.
    """

    def in_force_everywhere() -> bool:
        revisions = list(_revisions(running).values())
        return revisions.count(revision) == len(revisions) == nodes

    loopback.wait_for(in_force_everywhere, TIMEOUT_S)


def _history(running: fleet.Fleet) -> list[dict[str, object]]:
    """Return the accepted changes, the newest first."""
    completed = running.command('history', *_settings_option(running), '--json')
    records: list[dict[str, object]] = json.loads(completed.stdout)
    return records


def _inject_faults(running: fleet.Fleet, **faults: object) -> None:
    """Replace the faults that the platform's stand-in injects.

    :param faults: Fields of the stand-in's faults; none ends all faults.
    """
    body = json.dumps(faults).encode()
    loopback.http_call(running.key_value_address, '/faults', body)


def _apply(
    running: fleet.Fleet,
    path: pathlib.Path,
) -> subprocess.CompletedProcess[str]:
    """Run the apply command on a rules file."""
    return running.command('apply', str(path), *_settings_option(running))


def _apply_with_comment(running: fleet.Fleet, line: str) -> int:
    """Append a comment to the rules file, apply it and return the revision."""
    text = running.rules_path.read_text(encoding='utf-8')
    changed = f'{text}{COMMENT_PREFIX}: {line}\n'
    running.rules_path.write_text(changed, encoding='utf-8')
    running.apply()
    return int(str(_history(running)[0]['revision']))


def _write_edited_rules(
    running: fleet.Fleet, path: pathlib.Path, line: str
) -> pathlib.Path:
    """Write the rules in force, with one more line, to a file.

    :returns: The path of the file.
    """
    running.command('show', *_settings_option(running), '--output', str(path))
    text = path.read_text(encoding='utf-8')
    path.write_text(f'{text}{line}\n', encoding='utf-8')
    return path


def test_one_of_two_concurrent_applies_gets_conflict(
    small_fleet: fleet.Fleet,
    tmp_path: pathlib.Path,
) -> None:
    lines = [f'{COMMENT_PREFIX}: racer {number}' for number in range(2)]
    paths = [
        _write_edited_rules(small_fleet, tmp_path / f'{number}.txt', line)
        for number, line in enumerate(lines)
    ]
    with futures.ThreadPoolExecutor() as pool:
        completed = list(
            pool.map(lambda path: _apply(small_fleet, path), paths)
        )
    codes = [process.returncode for process in completed]
    assert sorted(codes) == [0, CONFLICT]
    rejected_index = codes.index(CONFLICT)
    assert f'+{lines[1 - rejected_index]}' in completed[rejected_index].stderr
    accepted = str(_history(small_fleet)[0]['edits'])
    assert lines[1 - rejected_index] in accepted
    output = str(small_fleet.rules_path)
    small_fleet.command(
        'show', *_settings_option(small_fleet), '--output', output
    )


def test_restarted_agent_gets_revision_from_peer_in_outage(
    small_fleet: fleet.Fleet,
) -> None:
    nodes = len(small_fleet.listed)
    before = _apply_with_comment(small_fleet, 'before the outage')
    agent = small_fleet.agents[0].name
    small_fleet.processes.kill(agent)
    after = _apply_with_comment(small_fleet, 'not at the agent')
    assert after == before + 1
    _inject_faults(small_fleet, outage=True)
    small_fleet.start_vm(small_fleet.agents[0])
    _wait_for_revision(small_fleet, after, nodes)
    _inject_faults(small_fleet)
    log = _read_logs(small_fleet, agent)
    assert 'first configuration comes from peer' in log


def test_a_restarted_entry_takes_the_highest_revision_of_its_peers(
    small_fleet: fleet.Fleet,
) -> None:
    nodes = len(small_fleet.listed)
    revision = _apply_with_comment(small_fleet, 'before the entry dies')
    _inject_faults(small_fleet, outage=True)
    entry = small_fleet.entries[-1]
    small_fleet.processes.kill(entry.name)
    small_fleet.start_vm(entry)
    _wait_for_revision(small_fleet, revision, nodes)
    _inject_faults(small_fleet)


def test_change_reaches_all_processes_when_one_watcher_is_down(
    small_fleet: fleet.Fleet,
) -> None:
    entry = small_fleet.entries[-1]
    small_fleet.processes.kill(entry.name)
    revision = _apply_with_comment(small_fleet, 'without a watcher')
    _wait_for_revision(small_fleet, revision, len(small_fleet.listed) - 1)
    small_fleet.start_vm(entry)
    _wait_for_revision(small_fleet, revision, len(small_fleet.listed))


def test_store_rollback_keeps_revision_until_next_apply_repairs(
    small_fleet: fleet.Fleet,
) -> None:
    nodes = len(small_fleet.listed)
    _inject_faults(small_fleet, keep_copy=True)
    revision = _apply_with_comment(small_fleet, 'lost by the platform')
    _inject_faults(small_fleet, restore_copy=True)
    entry = small_fleet.entries[0].name
    loopback.wait_for(
        lambda: 'the next apply restores it' in _read_logs(small_fleet, entry),
        TIMEOUT_S,
    )
    assert set(_revisions(small_fleet).values()) == {revision}
    assert _apply_with_comment(small_fleet, 'after the restore') == revision + 1
    _wait_for_revision(small_fleet, revision + 1, nodes)
    notes = [record['note'] for record in _history(small_fleet)]
    assert 'older copy' in str(notes[1])


def test_apply_with_lost_store_reply_creates_one_revision(
    small_fleet: fleet.Fleet,
) -> None:
    before = int(str(_history(small_fleet)[0]['revision']))
    _inject_faults(small_fleet, lost_answers=1)
    assert _apply_with_comment(small_fleet, 'its answer is lost') == before + 1
    assert (
        len({record['revision'] for record in _history(small_fleet)}) >= before
    )


def test_an_apply_in_an_outage_changes_nothing(
    small_fleet: fleet.Fleet,
) -> None:
    _inject_faults(small_fleet, outage=True)
    completed = _apply(small_fleet, small_fleet.rules_path)
    _inject_faults(small_fleet)
    assert completed.returncode == 6
    assert 'nothing is changed' in completed.stderr


@pytest.mark.parametrize(
    ('words', 'answer'),
    [
        (('explain', 'gravier', 'POST', '/bookings'), 'must not be repeated'),
        (('explain', 'nobody', 'GET', '/x'), 'refused'),
        (('history', '--limit', '1'), 'revision'),
    ],
)
def test_commands_print_expected_output(
    small_fleet: fleet.Fleet,
    words: tuple[str, ...],
    answer: str,
) -> None:
    completed = small_fleet.command(*words, *_settings_option(small_fleet))
    assert answer in completed.stdout


def _read_logs(running: fleet.Fleet, name: str) -> str:
    """Return the text of all log files of a process."""
    log_paths = running.directory.glob(f'{name}*.log')
    return ''.join(path.read_text(encoding='utf-8') for path in log_paths)
