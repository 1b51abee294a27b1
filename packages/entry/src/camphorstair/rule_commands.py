"""The commands ``check``, ``show``, ``explain`` and ``history``."""

import pathlib

import curio
import msgspec
import typer

from camphorstair import command_options, history_text, rules_file
from camphorstair_core import explanations, rule_reader, rule_warnings
from camphorstair_runtime import configuration_store, vm_list


def check(
    rules_path: command_options.RulesFile,
    settings_file: command_options.OptionalSettings = None,
) -> None:
    """Check a rules file for errors.

    Example: camphorstair check rules.txt

    With the settings of an entry, names are also compared with the VM list.

    Exit codes: 0 no errors, also with warnings; 2 errors, each printed with
    line and column, or the settings or the VM list can't be read.
    """
    try:
        text = rules_file.read(rules_path)
    except rules_file.RulesError as error:
        command_options.fail(str(error), command_options.USAGE_ERROR)
    known_names = _known_names(settings_file) if settings_file else None
    rule_set = rule_reader.parse(text)[0]
    for warning in rule_warnings.find(rule_set, known_names):
        location = f'{rules_path}:{warning.line}:{warning.column}'
        typer.echo(f'{location}: warning: {warning.message}', err=True)
    typer.echo(f'{rules_path}: no errors')


def _known_names(settings_file: pathlib.Path) -> rule_warnings.KnownNames:
    fleet = command_options.open_fleet(settings_file)
    try:
        listed = curio.run(vm_list.read, fleet.checked.platform.vm_list)
    except vm_list.VmListError as error:
        command_options.fail(str(error), command_options.USAGE_ERROR)
    return rule_warnings.KnownNames(
        sorted({vm.data_centre for vm in listed}),
        [vm.name for vm in listed if vm.service],
    )


def show(
    settings_file: command_options.SettingsFile, output: command_options.Output
) -> None:
    """Write the rules in force to a file, to be edited and applied.

    Example: camphorstair show --settings entry.toml --output rules.txt

    Exit codes: 0 written, 2 the file can't be written or the settings can't
    be read, 6 the platform does not answer.
    """
    client = command_options.open_fleet(settings_file).client()
    try:
        stored = curio.run(configuration_store.read, client)
        text = stored.current.text if stored.current else ''
        output.write_bytes(text.encode())
    except OSError as error:
        command_options.fail(str(error), command_options.USAGE_ERROR)
    except command_options.READ_ERRORS as failure:
        command_options.fail(str(failure), command_options.NO_PLATFORM)
    rules_file.write_base(output, stored.found.revision())
    typer.echo(f'revision {stored.found.revision()} written to {output}')


def explain(
    organisation: str,
    method: str,
    path: str,
    model: command_options.Model = None,
    rules_path: command_options.RulesOption = None,
    settings_file: command_options.OptionalSettings = None,
) -> None:
    """Show which lines of the rules decide about a request, and why.

    Example: camphorstair explain gravier POST /bookings --rules rules.txt

    Use --rules for a rules file, or --settings with the settings of an entry
    for the rules in force.

    Exit codes: 0 the request is routed, 1 it is refused, 2 errors in the
    rules or the options, 6 the platform does not answer.
    """
    rule_set = rule_reader.parse(_rules_text(rules_path, settings_file))[0]
    request = explanations.Request(organisation, method, path, model)
    steps = explanations.explain(rule_set, request)
    for step in steps:
        line_prefix = f'line {step.line}: ' if step.line else ''
        typer.echo(f'{line_prefix}{step.reason}')
    if 0 in [decision.line for decision in steps]:
        raise typer.Exit(command_options.REFUSED)


def _rules_text(
    rules_path: pathlib.Path | None,
    settings_file: pathlib.Path | None,
) -> str:
    if rules_path is not None:
        try:
            return rules_file.read(rules_path)
        except rules_file.RulesError as error:
            command_options.fail(str(error), command_options.USAGE_ERROR)
    if settings_file is None:
        command_options.fail(
            '--rules or --settings is required',
            command_options.USAGE_ERROR,
        )
    client = command_options.open_fleet(settings_file).client()
    try:
        stored = curio.run(configuration_store.read, client)
    except command_options.READ_ERRORS as failure:
        command_options.fail(str(failure), command_options.NO_PLATFORM)
    return stored.current.text if stored.current else ''


def history(
    settings_file: command_options.SettingsFile,
    limit: command_options.Limit = command_options.HISTORY_LIMIT,
    as_json: command_options.Json = False,
) -> None:
    """Show who changed which lines and when, newest change first.

    Example: camphorstair history --settings entry.toml --limit 5

    Exit codes: 0 shown, 6 the platform does not answer.
    """
    client = command_options.open_fleet(settings_file).client()
    try:
        recent = curio.run(configuration_store.history, client, limit)
    except command_options.READ_ERRORS as failure:
        command_options.fail(str(failure), command_options.NO_PLATFORM)
    if as_json:
        typer.echo(msgspec.json.encode(recent))
        return
    for change in recent:
        typer.echo(history_text.entry(change))


def register(application: typer.Typer) -> None:
    """Register the commands with an application."""
    for command in (check, show, explain, history):
        application.command()(command)
