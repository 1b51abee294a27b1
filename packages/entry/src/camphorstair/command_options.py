"""Options, exit codes and error handling shared by the commands."""

import pathlib
import typing

import typer

from camphorstair import operators
from camphorstair_runtime import (
    configuration_store,
    configuration_values,
    platform,
    security,
    settings,
    vm_list,
)

USAGE_ERROR = 2
CONFLICT = 3
UNKNOWN_OUTCOME = 4
NOT_EVERYWHERE = 5
NO_PLATFORM = 6
REFUSED = 1
HISTORY_LIMIT = 20

READ_ERRORS = (
    platform.PlatformError,
    configuration_values.StoreError,
    vm_list.VmListError,
)

SettingsFile = typing.Annotated[
    pathlib.Path,
    typer.Option('--settings', help='Settings file in TOML.'),
]
RulesFile = typing.Annotated[
    pathlib.Path,
    typer.Argument(help='Rules file.'),
]
OptionalSettings = typing.Annotated[
    pathlib.Path | None,
    typer.Option('--settings', help='Settings file of an entry.'),
]
RulesOption = typing.Annotated[
    pathlib.Path | None,
    typer.Option('--rules', help='Rules file.'),
]
Base = typing.Annotated[
    int | None,
    typer.Option(help='Revision that the file is based on.'),
]
Output = typing.Annotated[
    pathlib.Path,
    typer.Option(help='File to write.'),
]
Model = typing.Annotated[
    str | None,
    typer.Option(help='Model named in the request body.'),
]
Limit = typing.Annotated[
    int,
    typer.Option(
        min=1,
        max=configuration_store.CHANGES_KEPT,
        help='Maximum number of changes.',
    ),
]
Json = typing.Annotated[
    bool,
    typer.Option('--json', help='Print JSON for scripts.'),
]


def fail(message: str, code: int) -> typing.NoReturn:
    """Print a message to stderr and exit with a code.

    :raises typer.Exit: always.
    """
    typer.echo(message, err=True)
    raise typer.Exit(code)


def load(settings_file: pathlib.Path) -> settings.EntrySettings:
    """Return the settings of a file after validation.

    :raises typer.Exit: if the settings are invalid or can't be read.
    """
    try:
        checked = settings.load(settings_file, settings.EntrySettings)
        security.peers_context(checked.security)
        security.token_key(checked.security)
    except (settings.SettingsError, OSError) as error:
        fail(str(error), USAGE_ERROR)
    return checked


def open_fleet(settings_file: pathlib.Path) -> operators.Fleet:
    """Return access to the fleet by the settings of an entry.

    :raises typer.Exit: if the settings are invalid or can't be read.
    """
    checked = load(settings_file)
    context = security.client_context(checked.security)
    return operators.Fleet(checked, context)
