"""The operator's rules file, and the note of what it was made from."""

import pathlib

from camphorstair_core import rule_reader

BASE_SUFFIX = '.base'


class RulesError(Exception):
    """The rules have faults; the text has a line for each."""


def read(path: pathlib.Path) -> str:
    """Return the text of a rules file without fault, byte for byte.

    :raises RulesError: if it has faults or can't be read.
    """
    text = read_text(path)
    faults = rule_reader.parse(text)[1]
    if faults:
        raise RulesError('\n'.join(f'{path}:{fault}' for fault in faults))
    return text


def read_text(path: pathlib.Path) -> str:
    """Return the text of a file, byte for byte.

    :raises RulesError: if it can't be read.
    """
    try:
        return path.read_bytes().decode()
    except (OSError, UnicodeDecodeError) as error:
        raise RulesError(f'{path}: {error}') from error


def noted_base(path: pathlib.Path) -> int | None:
    """Return the revision that a file was made from, if it is noted."""
    try:
        noted = _base_path(path).read_text(encoding='utf-8').strip()
    except OSError:
        return None
    return int(noted) if noted.isdecimal() else None


def note_base(path: pathlib.Path, revision: int) -> None:
    """Note beside a file which revision it now is.

    A directory that can't be written leaves no note.
    """
    try:
        _base_path(path).write_text(f'{revision}\n', encoding='utf-8')
    except OSError:
        return


def _base_path(path: pathlib.Path) -> pathlib.Path:
    return path.with_name(f'{path.name}{BASE_SUFFIX}')
