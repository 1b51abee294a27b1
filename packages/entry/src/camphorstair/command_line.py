"""The command ``camphorstair``."""

import types
import typing
from importlib import metadata

import curio
import msgspec
import typer

from camphorstair import (
    acceptance,
    applying,
    command_options,
    log_commands,
    operators,
    rule_commands,
    rules_file,
)
from camphorstair_core import messages
from camphorstair_runtime import configuration_values, launcher, vm_list

_APP = typer.Typer(
    add_completion=False,
    no_args_is_help=True,
    help='Load balancer for expert-parallel model groups.',
)
_ACCEPTANCE_CODES = types.MappingProxyType(
    {
        acceptance.ConflictError: command_options.CONFLICT,
        acceptance.UnknownOutcomeError: command_options.UNKNOWN_OUTCOME,
    },
)


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


@_APP.command()
def serve(settings_file: command_options.SettingsFile) -> None:
    """Run an entry node.

    Example: camphorstair serve --settings entry.toml

    Exit codes: 0 stopped gracefully, 2 the settings are at fault.
    """
    command_options.load(settings_file)
    launcher.replace_process('camphorstair.serving', str(settings_file))


def _show_difference(lines: list[str]) -> None:
    for line in lines:
        typer.echo(line)


def _show_note(message: object) -> None:
    typer.echo(str(message), err=True)


@_APP.command()
def apply(
    rules_path: command_options.RulesFile,
    settings_file: command_options.SettingsFile,
    base: command_options.Base = None,
) -> None:
    """Put a rules file in force everywhere.

    Example: camphorstair apply rules.txt --settings entry.toml

    Prints the lines that change, accepts them, and waits until all processes
    that answer report the revision.

    Exit codes: 0 in force everywhere, 2 faults, 3 conflict with another
    change, 4 not known whether it was accepted, 5 accepted but not yet
    reported by all, 6 the platform does not answer and nothing is changed.
    """
    reports = applying.Reports(_show_difference, _show_note, _show_note)
    fleet = command_options.open_fleet(settings_file)
    try:
        applied = curio.run(applying.apply, fleet, rules_path, reports, base)
    except (rules_file.RulesError, configuration_values.TooLargeError) as error:
        command_options.fail(str(error), command_options.USAGE_ERROR)
    except acceptance.AcceptanceError as refusal:
        command_options.fail(str(refusal), _ACCEPTANCE_CODES[type(refusal)])
    except command_options.UNREADABLE as failure:
        command_options.fail(
            f'nothing is changed: {failure}', command_options.NO_PLATFORM
        )
    _show_applied(applied)


def _show_applied(applied: applying.Applied) -> None:
    done = 'accepted' if applied.changed else 'is already in force'
    typer.echo(f'revision {applied.revision} {done}')
    if applied.silent:
        names = ', '.join(applied.silent)
        _show_note(f'no answer from {names}')
    if applied.lacking:
        names = ', '.join(applied.lacking)
        command_options.fail(
            f'not yet in force at {names}', command_options.NOT_EVERYWHERE
        )
    typer.echo('in force everywhere')


@_APP.command()
def status(
    settings_file: command_options.SettingsFile,
    as_json: command_options.Json = False,
) -> None:
    """Show the state of every process.

    Example: camphorstair status --settings entry.toml

    Exit codes: 0 shown, 2 the VM list can't be read.
    """
    try:
        found = curio.run(
            operators.statuses, command_options.open_fleet(settings_file)
        )
    except vm_list.VmListError as error:
        command_options.fail(str(error), command_options.USAGE_ERROR)
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


def application() -> typer.Typer:
    """Return the command with all its parts."""
    rule_commands.register(_APP)
    log_commands.register(_APP)
    return _APP


def main() -> None:
    """Run the command."""
    application()()
