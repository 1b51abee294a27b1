"""The command ``camphorstair``."""

import pathlib
import typing
from importlib import metadata

import curio
import msgspec
import typer

from camphorstair import operators
from camphorstair_core import messages, rule_reader
from camphorstair_runtime import launcher, platform, security, settings, vm_list

USAGE_ERROR = 2
CONFLICT = 3
UNKNOWN_OUTCOME = 4
NOT_EVERYWHERE = 5

_APP = typer.Typer(
    add_completion=False,
    no_args_is_help=True,
    help='Load balancer for expert-parallel model groups.',
)
_SettingsFile = typing.Annotated[
    pathlib.Path,
    typer.Option('--settings', help='Settings file in TOML.'),
]
_RulesFile = typing.Annotated[
    pathlib.Path,
    typer.Argument(help='Rules file.'),
]
_Json = typing.Annotated[
    bool,
    typer.Option('--json', help='Print JSON for scripts.'),
]


def _show_version(wanted: bool) -> None:
    if wanted:
        typer.echo(metadata.version('camphorstair'))
        raise typer.Exit


@_APP.callback()
def _options(
    version: typing.Annotated[
        bool,
        typer.Option('--version', callback=_show_version, is_eager=True),
    ] = False,
) -> None:
    """Load balancer for expert-parallel model groups."""


def _fail(message: str, code: int) -> typing.NoReturn:
    typer.echo(message, err=True)
    raise typer.Exit(code)


def _load(settings_file: pathlib.Path) -> settings.EntrySettings:
    try:
        checked = settings.load(settings_file, settings.EntrySettings)
        security.peers_context(checked.security)
        security.token_key(checked.security)
    except (settings.SettingsError, OSError) as error:
        _fail(str(error), USAGE_ERROR)
    return checked


def _fleet(settings_file: pathlib.Path) -> operators.Fleet:
    checked = _load(settings_file)
    context = security.client_context(checked.security)
    return operators.Fleet(checked, context)


@_APP.command()
def serve(settings_file: _SettingsFile) -> None:
    """Run an entry node.

    Example: camphorstair serve --settings entry.toml

    Exit codes: 0 stopped gracefully, 2 the settings are at fault.
    """
    _load(settings_file)
    launcher.replace_process('camphorstair.serving', str(settings_file))


@_APP.command()
def check(rules_file: _RulesFile) -> None:
    """Check a rules file.

    Example: camphorstair check rules.txt

    Exit codes: 0 no fault, 2 faults, each with line and column.
    """
    try:
        text = rules_file.read_text(encoding='utf-8')
    except (OSError, UnicodeDecodeError) as error:
        _fail(f'{rules_file}: {error}', USAGE_ERROR)
    faults = rule_reader.parse(text)[1]
    for fault in faults:
        typer.echo(f'{rules_file}:{fault}', err=True)
    if faults:
        raise typer.Exit(USAGE_ERROR)
    typer.echo(f'{rules_file}: no fault')


@_APP.command()
def apply(rules_file: _RulesFile, settings_file: _SettingsFile) -> None:
    """Put a rules file in force everywhere.

    Example: camphorstair apply rules.txt --settings entry.toml

    Exit codes: 0 in force everywhere, 2 faults, 3 conflict with another
    change, 4 not known whether it was accepted, 5 accepted but not yet
    reported by all.
    """
    fleet = _fleet(settings_file)
    try:
        applied = curio.run(operators.apply, fleet, rules_file)
    except (operators.RulesError, OSError) as error:
        _fail(str(error), USAGE_ERROR)
    except operators.ConflictError as conflict:
        _fail(str(conflict), CONFLICT)
    except platform.PlatformError as failure:
        _fail(f'outcome unknown: {failure}', UNKNOWN_OUTCOME)
    typer.echo(f'revision {applied.revision} accepted')
    if applied.lacking:
        names = ', '.join(applied.lacking)
        _fail(f'not yet in force at {names}', NOT_EVERYWHERE)
    typer.echo('in force everywhere')


@_APP.command()
def status(settings_file: _SettingsFile, as_json: _Json = False) -> None:
    """Show the state of every process.

    Example: camphorstair status --settings entry.toml

    Exit codes: 0 shown, 2 the VM list can't be read.
    """
    try:
        found = curio.run(operators.statuses, _fleet(settings_file))
    except vm_list.VmListError as error:
        _fail(str(error), USAGE_ERROR)
    if as_json:
        typer.echo(msgspec.json.encode(found))
        return
    for node in sorted(found, key=lambda one: one.node):
        typer.echo(_status_line(node))


def _status_line(node: messages.NodeStatus) -> str:
    load = node.load
    leaving = ' leaving' if node.leaving else ''
    return (
        f'{node.node:24} {node.role:6} {node.data_centre:14}'
        f' revision {node.revision} in flight {load.in_flight}'
        f' of {load.limit}{leaving}'
    )


def main() -> None:
    """Run the command."""
    _APP()
