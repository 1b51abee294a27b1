"""Lines of the rules file: a verb, settings as key=value, who asked for it."""

import re

import attrs

_WORD = re.compile(r'\S+')


@attrs.define(frozen=True)
class RuleError(Exception):
    """A fault in the rules file, with its place.

    :ivar line: Line number, from 1.
    :ivar column: Column number, from 1.
    :ivar message: What is wrong, naming the offending value.
    """

    line: int
    column: int
    message: str

    def __str__(self) -> str:
        """Return place and message in the form editors understand."""
        return f'{self.line}:{self.column}: {self.message}'


@attrs.define(frozen=True)
class Word:
    """A key=value pair of a rule and its column."""

    key: str
    value: str
    column: int


@attrs.define(frozen=True)
class RuleLine:
    """One rule as written.

    :ivar line: Line number, from 1.
    :ivar verb: First word of the line.
    :ivar words: The settings in the order written.
    :ivar requester: The comment that names who asked for the rule.
    :ivar text: The whole line, unchanged.
    """

    line: int
    verb: str
    words: tuple[Word, ...]
    requester: str
    text: str

    def setting(self, key: str) -> str | None:
        """Return the value of a key, or None."""
        for word in self.words:
            if word.key == key:
                return word.value
        return None


def requester(line: str) -> str:
    """Return the comment of a rule, or nothing for a line without a rule."""
    rule, _mark, comment = line.partition('#')
    return comment.strip() if rule.strip() else ''


def split_line(number: int, line: str) -> RuleLine | None:
    """Split a line of a rules file into a rule.

    :param number: Its line number, from 1.
    :param line: The line.
    :returns: The rule, or None for an empty line or a comment alone.
    :raises RuleError: if it is no rule.
    """
    if not line.strip() or line.lstrip().startswith('#'):
        return None
    rule, _mark, comment = line.partition('#')
    if not comment.strip():
        message = 'rule has no comment that names who asked for it'
        raise RuleError(number, len(rule.rstrip()) + 1, message)
    matches = list(_WORD.finditer(rule))
    words = tuple(_read_word(number, match) for match in matches[1:])
    _check_repeated(number, words)
    verb = matches[0].group()
    return RuleLine(number, verb, words, comment.strip(), line)


def _read_word(number: int, match: re.Match[str]) -> Word:
    key, mark, value = match.group().partition('=')
    column = match.start() + 1
    if not (key and mark and value):
        message = f'"{match.group()}" is not of the form key=value'
        raise RuleError(number, column, message)
    return Word(key, value, column)


def _check_repeated(number: int, words: tuple[Word, ...]) -> None:
    seen: set[str] = set()
    for word in words:
        if word.key in seen:
            raise RuleError(number, word.column, f'"{word.key}" stands twice')
        seen.add(word.key)
