"""The command-line program ``camphorstair``."""

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


def _print_version(requested: bool) -> None:
    if requested:
        typer.echo(metadata.version('camphorstair'))
        raise typer.Exit


@_APP.callback()
def _options(
    version: typing.Annotated[
        bool,
        typer.Option('--version', callback=_print_version, is_eager=True),
    ] = False,
) -> None:
    """Load balancer for expert-parallel model groups."""


@_APP.command()
def serve(settings_file: command_options.SettingsFile) -> None:
    """Run an entry node.

    Example: camphorstair serve --settings entry.toml

    Exit codes: 0 shut down gracefully, 2 invalid settings.
    """
    command_options.load(settings_file)
    launcher.replace_process('camphorstair.serving', str(settings_file))


def _print_lines(lines: list[str]) -> None:
    for line in lines:
        typer.echo(line)


def _print_message(message: object) -> None:
    typer.echo(str(message), err=True)


@_APP.command()
def apply(
    rules_path: command_options.RulesFile,
    settings_file: command_options.SettingsFile,
    base: command_options.Base = None,
) -> None:
    """Apply a rules file to all processes.

    Example: camphorstair apply rules.txt --settings entry.toml

    Prints the changed lines, writes them to the platform, and waits until
    all processes that answer report the new revision.

    Exit codes: 0 in force at all processes that answer, 2 errors in the
    settings or the rules, 3 conflict with another change, 4 unknown whether
    the change was accepted, 5 accepted but not yet reported by all, 6 the
    platform does not answer and nothing is changed.
    """
    reports = applying.ApplyCallbacks(
        _print_lines, _print_message, _print_message
    )
    fleet = command_options.open_fleet(settings_file)
    try:
        apply_result = curio.run(
            applying.apply, fleet, rules_path, reports, base
        )
    except (rules_file.RulesError, configuration_values.TooLargeError) as error:
        command_options.fail(str(error), command_options.USAGE_ERROR)
    except acceptance.AcceptanceError as refusal:
        command_options.fail(str(refusal), _ACCEPTANCE_CODES[type(refusal)])
    except command_options.READ_ERRORS as failure:
        command_options.fail(
            f'nothing is changed: {failure}', command_options.NO_PLATFORM
        )
    _print_result(apply_result)


def _print_result(apply_result: applying.ApplyResult) -> None:
    outcome = 'accepted' if apply_result.changed else 'is already in force'
    typer.echo(f'revision {apply_result.revision} {outcome}')
    if apply_result.silent:
        names = ', '.join(apply_result.silent)
        _print_message(f'no answer from {names}')
    if apply_result.outdated:
        names = ', '.join(apply_result.outdated)
        command_options.fail(
            f'not yet in force at {names}', command_options.NOT_EVERYWHERE
        )
    typer.echo('in force everywhere')


@_APP.command()
def status(
    settings_file: command_options.SettingsFile,
    as_json: command_options.Json = False,
) -> None:
    """Show the revision and the load of every process.

    Example: camphorstair status --settings entry.toml

    Exit codes: 0 shown, 2 the settings or the VM list can't be read.
    """
    try:
        node_statuses = curio.run(
            operators.statuses, command_options.open_fleet(settings_file)
        )
    except vm_list.VmListError as error:
        command_options.fail(str(error), command_options.USAGE_ERROR)
    if as_json:
        typer.echo(msgspec.json.encode(node_statuses))
        return
    for node in sorted(node_statuses, key=lambda reply: reply.node):
        typer.echo(_format_status(node))


def _format_status(node: messages.NodeStatus) -> str:
    load = node.load
    leaving = ' leaving' if node.leaving else ''
    return (
        f'{node.node:24} {node.role:6} {node.data_centre:14}'
        f' revision {node.revision} in flight {load.in_flight}'
        f' of {load.limit}{leaving}'
    )


def application() -> typer.Typer:
    """Return the application with all commands registered."""
    rule_commands.register(_APP)
    log_commands.register(_APP)
    return _APP


def main() -> None:
    """Run the command-line program."""
    application()()
