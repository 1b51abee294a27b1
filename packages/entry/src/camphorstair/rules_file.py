"""Reads a rules file; reads and records the revision that it is based on."""

import pathlib

from camphorstair_core import decoding, rule_reader

BASE_SUFFIX = '.base'


class RulesError(Exception):
    """The rules have errors; the message has a line for each."""


def read(path: pathlib.Path) -> str:
    """Return the text of a valid rules file, unchanged byte for byte.

    :raises RulesError: if the file has errors or can't be read.
    """
    text = read_text(path)
    faults = rule_reader.parse(text)[1]
    if faults:
        raise RulesError('\n'.join(f'{path}:{fault}' for fault in faults))
    return text


def read_text(path: pathlib.Path) -> str:
    """Return the text of a file, unchanged byte for byte.

    :raises RulesError: if the file can't be read or is not in UTF-8.
    """
    try:
        return path.read_bytes().decode()
    except (OSError, UnicodeDecodeError) as error:
        raise RulesError(f'{path}: {error}') from error


def read_base(path: pathlib.Path) -> int | None:
    """Return the recorded revision that a file is based on, or None."""
    try:
        base_text = _base_path(path).read_text(encoding='utf-8').strip()
    except OSError:
        return None
    return decoding.whole_number_or(base_text, None)


def write_base(path: pathlib.Path, revision: int) -> None:
    """Record beside a file which revision it contains.

    If it can't be written, as in a read-only directory, nothing is recorded.
    """
    try:
        _base_path(path).write_text(f'{revision}\n', encoding='utf-8')
    except OSError:
        return


def _base_path(path: pathlib.Path) -> pathlib.Path:
    return path.with_name(f'{path.name}{BASE_SUFFIX}')
