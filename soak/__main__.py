"""Command line of the soak test: ``python -m soak``."""

import sys
import typing

import typer

from soak import running


def soak(
    seed: typing.Annotated[int, typer.Option(help='First seed.')] = 1,
    seconds: typing.Annotated[
        float, typer.Option(help='Duration of each run in seconds.')
    ] = 30,
    count: typing.Annotated[
        int, typer.Option(help='Number of consecutive seeds to run.')
    ] = 1,
) -> None:
    """Run soak tests and print the promises that the system broke.

    Exit codes: 0 no promise was broken, 1 a promise was broken.
    """
    broken = 0
    for run_seed in range(seed, seed + count):
        outcome = running.run(run_seed, seconds)
        typer.echo(
            f'seed {run_seed}: {outcome.faults} faults, {outcome.whole} of '
            f'{outcome.calls} requests whole, {len(outcome.broken)} broken',
        )
        for told in outcome.broken:
            typer.echo(f'  {told}')
        broken += len(outcome.broken)
    sys.exit(1 if broken else 0)


typer.run(soak)
