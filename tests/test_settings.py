"""A settings file is validated as a whole before a process starts."""

import pathlib
import subprocess
import sys

import pytest

from camphorstair_runtime import settings

VALID_SETTINGS = """\
[node]
name = "a"
region = "qc-est"
data_centre = "charny"
[listen]
callers = "127.0.0.1:1"
peers = "127.0.0.1:2"
[platform]
key_value = ["127.0.0.1:3"]
vm_list = "127.0.0.1:4"
[security]
plain = true
[shutdown]
limit_s = 5
"""


def _load(directory: pathlib.Path, text: str) -> settings.EntrySettings:
    path = directory / 'entry.toml'
    path.write_text(text, encoding='utf-8')
    return settings.load(path, settings.EntrySettings)


def test_good_settings_are_read(tmp_path: pathlib.Path) -> None:
    checked = _load(tmp_path, VALID_SETTINGS)
    assert checked.listen.peers == '127.0.0.1:2'
    assert checked.logging.level == 'INFO'


@pytest.mark.parametrize(
    ('old', 'new', 'fault'),
    [
        ('name =', 'nam =', 'unknown setting "node.nam"'),
        ('limit_s = 5', 'limit = 5', 'unknown setting "shutdown.limit"'),
        ('limit_s = 5', 'limit_s = "5"', 'Expected `float`, got `str`'),
        (
            'limit_s = 5',
            'limit_s = -1',
            'shutdown.limit_s: -1.0 is not above 0',
        ),
        ('plain = true', 'plain = false', 'certificate, private_key and'),
        ('plain = true', 'plain = true\nauthority = "x"', 'plain: true, but'),
        ('0.1:2"', '0.1:1"', '127.0.0.1:1 is also listen.peers'),
        ('0.1:4"', '0.1"', 'platform.vm_list: "127.0.0.1" is not of the form'),
        ('[node]', '[node', 'Expected'),
        ('plain = true', 'plain = 1', 'Expected `bool`, got `int`'),
        ('limit_s = 5', 'limit_s = 5\n[logging]\nlevel = "LOUD"', '"LOUD"'),
    ],
)
def test_a_fault_names_the_file_and_the_key(
    tmp_path: pathlib.Path,
    old: str,
    new: str,
    fault: str,
) -> None:
    with pytest.raises(settings.SettingsError) as error_info:
        _load(tmp_path, VALID_SETTINGS.replace(old, new))
    assert str(error_info.value).startswith(f'{tmp_path}/entry.toml: ')
    assert fault in str(error_info.value)


@pytest.mark.parametrize(
    'command',
    [
        ['camphorstair', 'serve', '--settings'],
        ['camphorstair-agent', '--settings'],
    ],
)
def test_nothing_starts_with_faulty_settings(
    tmp_path: pathlib.Path,
    command: list[str],
) -> None:
    path = tmp_path / 'faulty.toml'
    path.write_text('[node]\nnam = "a"\n', encoding='utf-8')
    executable = pathlib.Path(sys.executable).with_name(command[0])
    completed = subprocess.run(
        [str(executable), *command[1:], str(path)],
        capture_output=True,
        text=True,
        check=False,
    )
    assert completed.returncode == 2
    assert completed.stderr == f'{path}: unknown setting "node.nam"\n'
