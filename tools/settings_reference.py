"""Generates the settings reference from the settings classes.

``python tools/settings_reference.py > docs/operators/settings.md``
"""

import inspect
import re
import sys
import typing

import attrs

from camphorstair_runtime import settings

_PROGRAMS = (
    ('camphorstair serve', settings.EntrySettings),
    ('camphorstair-agent', settings.AgentSettings),
)
_FIELD = re.compile(
    r'^:ivar (\w+): (.*?)(?=^:ivar |\Z)', re.MULTILINE | re.DOTALL
)
_PAGE_HEADER = """\
# Settings

Made from the settings classes by `tools/settings_reference.py`. A settings file is
TOML and is checked whole before anything starts; an unknown key is an error. A
suffix is the unit: `_s` seconds.
"""


def reference() -> str:
    """Return the page as Markdown."""
    parts = [_PAGE_HEADER]
    for program, kind in _PROGRAMS:
        parts.append(f'\n## {program}\n')
        for section in attrs.fields(attrs.resolve_types(kind)):
            parts.append(_section(section))
    return ''.join(parts)


def _section(section: 'attrs.Attribute[object]') -> str:
    kind = typing.cast(type[attrs.AttrsInstance], section.type)
    rows = [f'\n### [{section.name}]\n\n{_summary(kind)}\n\n']
    rows.append('| key | type | default | meaning |\n|---|---|---|---|\n')
    meanings = dict(_FIELD.findall(inspect.getdoc(kind) or ''))
    for field in attrs.fields(attrs.resolve_types(kind)):
        meaning = ' '.join(meanings.get(field.name, '').split())
        row = (field.name, _type(field), _default(field), meaning)
        rows.append('| {} |\n'.format(' | '.join(row)))
    return ''.join(rows)


def _summary(kind: type) -> str:
    return (inspect.getdoc(kind) or '').partition('\n\n')[0]


def _type(field: 'attrs.Attribute[object]') -> str:
    return getattr(field.type, '__name__', str(field.type))


def _default(field: 'attrs.Attribute[object]') -> str:
    if field.default is attrs.NOTHING:
        return 'needed'
    return f'`{field.default!r}`'


if __name__ == '__main__':
    sys.stdout.write(reference())
