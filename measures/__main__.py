"""Command line of the measures."""

import sys
import typing

import typer

from measures import registry, reports

_APP = typer.Typer(add_completion=False)
_MEASURE_ALL = 'all'


@_APP.command()
def run(
    name: typing.Annotated[str, typer.Argument(help='A measure, or "all".')],
    seed: typing.Annotated[int, typer.Option(help='Seed.')] = 1,
    as_json: typing.Annotated[bool, typer.Option('--json')] = False,
) -> None:
    """Run a measure and print its figures, baseline and targets.

    Example: python -m measures request_path --json
    """
    names = list(registry.MEASURES) if name == _MEASURE_ALL else [name]
    if names[0] not in registry.MEASURES:
        known = ', '.join(registry.MEASURES)
        typer.echo(f'unknown measure "{name}"; known: {known}', err=True)
        sys.exit(2)
    for one in names:
        report = registry.MEASURES[one](seed)
        shown = reports.to_json(report) if as_json else reports.to_table(report)
        typer.echo(shown)


_APP()
