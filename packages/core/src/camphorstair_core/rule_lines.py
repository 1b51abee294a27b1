"""Splits lines of the rules file.

A rule is a verb, settings of the form key=value, and a comment that names who
asked for the rule.
"""

import re

import attrs

_WORD = re.compile(r'\S+')


@attrs.define(frozen=True)
class RuleError(Exception):
    """A fault in the rules file, or a warning, with its position.

    :ivar line: Line number, from 1.
    :ivar column: Column number, from 1.
    :ivar message: What is wrong, naming the offending value.
    """

    line: int
    column: int
    message: str

    def __str__(self) -> str:
        """Return ``line:column: message``, a form that editors can parse."""
        return f'{self.line}:{self.column}: {self.message}'


@attrs.define(frozen=True)
class Setting:
    """A key=value setting of a rule.

    :ivar key: The key.
    :ivar value: The value.
    :ivar column: Column number of the key, from 1.
    """

    key: str
    value: str
    column: int


@attrs.define(frozen=True)
class RuleLine:
    """One rule, split but not yet interpreted.

    :ivar line: Line number, from 1.
    :ivar verb: First word of the line.
    :ivar settings: The settings in the order of the line.
    :ivar requester: The comment, which names who asked for the rule.
    :ivar text: The whole line, unchanged.
    """

    line: int
    verb: str
    settings: tuple[Setting, ...]
    requester: str
    text: str

    def setting(self, key: str) -> str | None:
        """Return the value of a key, or None if the line lacks the key."""
        for setting in self.settings:
            if setting.key == key:
                return setting.value
        return None


def requester(line: str) -> str:
    """Return the comment of a rule, or an empty string if there is no rule."""
    rule, _separator, comment = line.partition('#')
    return comment.strip() if rule.strip() else ''


def split_line(number: int, line: str) -> RuleLine | None:
    """Split a line of a rules file.

    :param number: The line number, from 1.
    :param line: The text of the line.
    :returns: The rule, or None for a blank line or a line with only a comment.
    :raises RuleError: if the comment is missing, a setting is not of the form
        key=value, or a key is repeated.
    """
    if not line.strip() or line.lstrip().startswith('#'):
        return None
    rule, _separator, comment = line.partition('#')
    if not comment.strip():
        message = 'rule has no comment that names who asked for it'
        raise RuleError(number, len(rule.rstrip()) + 1, message)
    matches = list(_WORD.finditer(rule))
    settings = tuple(_read_setting(number, match) for match in matches[1:])
    _check_unique_keys(number, settings)
    verb = matches[0].group()
    return RuleLine(number, verb, settings, comment.strip(), line)


def _read_setting(number: int, match: re.Match[str]) -> Setting:
    """Return the setting that a match of ``_WORD`` holds."""
    key, separator, value = match.group().partition('=')
    column = match.start() + 1
    if not (key and separator and value):
        message = f'"{match.group()}" is not of the form key=value'
        raise RuleError(number, column, message)
    return Setting(key, value, column)


def _check_unique_keys(number: int, settings: tuple[Setting, ...]) -> None:
    """Raise an error if a key occurs more than once."""
    seen: set[str] = set()
    for setting in settings:
        if setting.key in seen:
            raise RuleError(
                number, setting.column, f'"{setting.key}" is given twice'
            )
        seen.add(setting.key)
