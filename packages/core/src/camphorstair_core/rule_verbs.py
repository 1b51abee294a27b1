"""Interprets a rule by its verb and adds it to the rule set."""

import difflib
import types
from collections import abc

from camphorstair_core import rule_lines, rules

MAX_DIGITS = 9
SERVICE = 'service'

# Keys that each verb requires.
_REQUIRED_KEYS = types.MappingProxyType(
    {
        'service': ('name', 'kind', 'in_flight', 'cold_in_flight'),
        'model': ('name', 'service'),
        'organisation': ('name', 'in_flight'),
        'route': ('path', 'service'),
        'limit': ('endpoint', 'in_flight', 'cold_in_flight'),
        'out': (),
        'fencing': ('endpoint', 'checked'),
    },
)
# Keys that each verb allows besides.
_OPTIONAL_KEYS = types.MappingProxyType(
    {
        'organisation': ('priority',),
        'route': ('method', 'repeat', 'organisation', 'model'),
        'out': ('data_centre', 'endpoint'),
    },
)


def read_rule(rule_set: rules.RuleSet, line: rule_lines.RuleLine) -> None:
    """Add a rule to the rule set.

    :param rule_set: The rules; updated in place.
    :param line: The split line of the rule.
    :raises rule_lines.RuleError: if the verb or a key is unknown, a required
        key is missing, or a value is not allowed.
    """
    if line.verb not in _REQUIRED_KEYS:
        raise rule_lines.RuleError(
            line.line,
            line.text.index(line.verb) + 1,
            unknown('rule', line.verb, list(_REQUIRED_KEYS)),
        )
    _check_keys(line)
    _READERS[line.verb](rule_set, line)


def _check_keys(line: rule_lines.RuleLine) -> None:
    """Raise an error for an unknown key or a missing required one."""
    required = _REQUIRED_KEYS[line.verb]
    allowed_keys = (*required, *_OPTIONAL_KEYS.get(line.verb, ()))
    for setting in line.settings:
        if setting.key not in allowed_keys:
            message = unknown('setting', setting.key, list(allowed_keys))
            raise rule_lines.RuleError(line.line, setting.column, message)
    for key in required:
        if line.setting(key) is None:
            message = f'"{line.verb}" needs {key}=...'
            raise rule_lines.RuleError(line.line, 1, message)


def unknown(what: str, name: str, known_names: list[str]) -> str:
    """Return an error message for an unknown name.

    The message suggests the most similar known name, if there is one.

    :param what: The kind of name, as shown in the message.
    :param name: The unknown name.
    :param known_names: The known names.
    """
    close = difflib.get_close_matches(name, known_names, n=1)
    hint = f', did you mean "{close[0]}"?' if close else ''
    return f'unknown {what} "{name}"{hint}'


def column(line: rule_lines.RuleLine, key: str) -> int:
    """Return the column of a setting; the line must have it."""
    return next(
        setting.column for setting in line.settings if setting.key == key
    )


def _positive_number(line: rule_lines.RuleLine, key: str) -> int:
    """Return a setting as a number from 1 with at most ``MAX_DIGITS`` digits.

    :raises rule_lines.RuleError: if it is anything else.
    """
    text = line.setting(key) or ''
    is_valid = text.isascii() and text.isdigit() and len(text) <= MAX_DIGITS
    if not is_valid or not int(text):
        message = f'{key} must be a whole number above 0, not "{text}"'
        raise rule_lines.RuleError(line.line, column(line, key), message)
    return int(text)


def _choice(
    line: rule_lines.RuleLine,
    key: str,
    allowed_values: list[str],
    default: str,
) -> str:
    """Return a setting that must be one of the known values.

    :param line: The rule.
    :param key: Key of the setting.
    :param allowed_values: The allowed values.
    :param default: Returned if the line lacks the key.
    :raises rule_lines.RuleError: if the value is not allowed.
    """
    text = line.setting(key)
    if text is None:
        return default
    if text not in allowed_values:
        message = unknown(key, text, allowed_values)
        raise rule_lines.RuleError(line.line, column(line, key), message)
    return text


def _setting_text(line: rule_lines.RuleLine, key: str = 'name') -> str:
    """Return a setting; empty if the line lacks the key."""
    return line.setting(key) or ''


def _check_not_defined(
    line: rule_lines.RuleLine,
    key: str,
    table: abc.Mapping[str, object],
) -> None:
    """Raise an error if the table has the name that a setting defines."""
    name = _setting_text(line, key)
    if name in table:
        message = f'{line.verb} "{name}" is defined twice'
        raise rule_lines.RuleError(line.line, column(line, key), message)


def _read_limits(line: rule_lines.RuleLine) -> tuple[int, int]:
    """Return the limits ``in_flight`` and ``cold_in_flight`` of a rule.

    :raises rule_lines.RuleError: if the cold limit is above the other.
    """
    in_flight = _positive_number(line, 'in_flight')
    cold_in_flight = _positive_number(line, 'cold_in_flight')
    if cold_in_flight > in_flight:
        message = f'cold_in_flight {cold_in_flight} is above {in_flight}'
        position = column(line, 'cold_in_flight')
        raise rule_lines.RuleError(line.line, position, message)
    return in_flight, cold_in_flight


def _read_service(rule_set: rules.RuleSet, line: rule_lines.RuleLine) -> None:
    _check_not_defined(line, 'name', rule_set.services)
    in_flight, cold_in_flight = _read_limits(line)
    kind = rules.ServiceKind(_choice(line, 'kind', list(rules.ServiceKind), ''))
    name = _setting_text(line)
    rule_set.services[name] = rules.Service(
        name,
        kind,
        in_flight,
        cold_in_flight,
        line.line,
    )


def _read_model(rule_set: rules.RuleSet, line: rule_lines.RuleLine) -> None:
    _check_not_defined(line, 'name', rule_set.models)
    rule_set.models[_setting_text(line)] = _setting_text(line, 'service')
    rule_set.model_lines[_setting_text(line)] = line.line


def _read_organisation(
    rule_set: rules.RuleSet, line: rule_lines.RuleLine
) -> None:
    _check_not_defined(line, 'name', rule_set.organisations)
    priority_names = [priority.name for priority in rules.Priority]
    priority = _choice(
        line, 'priority', priority_names, rules.Priority.normal.name
    )
    in_flight = _positive_number(line, 'in_flight')
    name = _setting_text(line)
    rule_set.organisations[name] = rules.Organisation(
        name,
        in_flight,
        rules.Priority[priority],
        line.line,
    )


def _read_route(rule_set: rules.RuleSet, line: rule_lines.RuleLine) -> None:
    path = _setting_text(line, 'path')
    if not path.startswith('/'):
        message = f'path "{path}" does not start with "/"'
        position = column(line, 'path')
        raise rule_lines.RuleError(line.line, position, message)
    repeat = _choice(line, 'repeat', ['allowed', 'never'], 'allowed')
    rule_set.routes.append(
        rules.Route(
            path=path,
            method=line.setting('method') or '*',
            service=_setting_text(line, 'service'),
            idempotent=repeat == 'allowed',
            line=line.line,
            organisation=_setting_text(line, 'organisation'),
            model=_setting_text(line, 'model'),
        ),
    )


def _read_limit(rule_set: rules.RuleSet, line: rule_lines.RuleLine) -> None:
    _check_not_defined(line, 'endpoint', rule_set.endpoints)
    in_flight, cold_in_flight = _read_limits(line)
    name = _setting_text(line, 'endpoint')
    rule_set.endpoints[name] = rules.Service(
        name,
        rules.ServiceKind.plain,
        in_flight,
        cold_in_flight,
        line.line,
    )


def _read_out(rule_set: rules.RuleSet, line: rule_lines.RuleLine) -> None:
    if len(line.settings) != 1:
        message = '"out" needs either data_centre=... or endpoint=...'
        raise rule_lines.RuleError(line.line, 1, message)
    setting = line.settings[0]
    table = rule_set.endpoints_out
    if setting.key == 'data_centre':
        table = rule_set.data_centres_out
    table[setting.value] = line.line


def _read_fencing(rule_set: rules.RuleSet, line: rule_lines.RuleLine) -> None:
    _check_not_defined(line, 'endpoint', rule_set.checked_fencing)
    checked = _choice(line, 'checked', ['yes', 'no'], 'no')
    endpoint = _setting_text(line, 'endpoint')
    rule_set.checked_fencing[endpoint] = checked == 'yes'
    rule_set.fencing_lines[endpoint] = line.line


_READERS = types.MappingProxyType(
    {
        'service': _read_service,
        'model': _read_model,
        'organisation': _read_organisation,
        'route': _read_route,
        'limit': _read_limit,
        'out': _read_out,
        'fencing': _read_fencing,
    },
)
