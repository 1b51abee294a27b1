"""Command line that runs the measures."""

import sys
import typing

import typer

from measures import registry, reports

_APP = typer.Typer(add_completion=False)
_MEASURE_ALL = 'all'


@_APP.command()
def run(
    name: typing.Annotated[
        str, typer.Argument(help='Measure to run, or "all".')
    ],
    seed: typing.Annotated[int, typer.Option(help='Random seed.')] = 1,
    as_json: typing.Annotated[bool, typer.Option('--json')] = False,
) -> None:
    """Run a measure and print its figures, baseline and targets.

    Example: python -m measures request_path --json
    """
    names = list(registry.MEASURES) if name == _MEASURE_ALL else [name]
    if names[0] not in registry.MEASURES:
        known_names = ', '.join(registry.MEASURES)
        typer.echo(f'unknown measure "{name}"; known: {known_names}', err=True)
        sys.exit(2)
    for measure_name in names:
        report = registry.MEASURES[measure_name](seed)
        rendered = (
            reports.to_json(report) if as_json else reports.to_table(report)
        )
        typer.echo(rendered)


_APP()
