"""The command ``camphorstair-agent``."""

import os
import pathlib
import sys
import typing

import typer

from camphorstair_runtime import security, settings

USAGE_ERROR = 2

_APP = typer.Typer(add_completion=False)


@_APP.command()
def run(
    settings_file: typing.Annotated[
        pathlib.Path,
        typer.Option('--settings', help='Settings file in TOML.'),
    ],
) -> None:
    """Serve one endpoint.

    Example: camphorstair-agent --settings agent.toml

    Exit codes: 0 stopped gracefully, 2 the settings are at fault.
    """
    try:
        checked = settings.load(settings_file, settings.AgentSettings)
        security.peers_context(checked.security)
    except (settings.SettingsError, OSError) as error:
        typer.echo(str(error), err=True)
        raise typer.Exit(USAGE_ERROR) from error
    # The serving process doesn't keep the command line's libraries in memory.
    module = 'camphorstair_agent.serving'
    path = str(settings_file)
    os.execv(sys.executable, [sys.executable, '-m', module, path])


def main() -> None:
    """Run the command."""
    _APP()
