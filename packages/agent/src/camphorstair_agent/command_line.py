"""Command-line interface of ``camphorstair-agent``."""

import pathlib
import typing

import typer

from camphorstair_runtime import launcher, security, settings

USAGE_ERROR = 2

_APP = typer.Typer(add_completion=False)


@_APP.command()
def run(
    settings_file: typing.Annotated[
        pathlib.Path,
        typer.Option('--settings', help='Settings file in TOML.'),
    ],
) -> None:
    """Run the agent of one endpoint.

    Example: camphorstair-agent --settings agent.toml

    Exit codes: 0 graceful shutdown, 2 invalid settings.
    """
    try:
        checked = settings.load(settings_file, settings.AgentSettings)
        security.peers_context(checked.security)
    except (settings.SettingsError, OSError) as error:
        typer.echo(str(error), err=True)
        raise typer.Exit(USAGE_ERROR) from error
    launcher.replace_process('camphorstair_agent.serving', str(settings_file))


def main() -> None:
    """Run the command-line interface."""
    _APP()
