"""Command line of the soak."""

import sys
import typing

import typer

from soak import running


def soak(
    seed: typing.Annotated[int, typer.Option(help='First seed.')] = 1,
    seconds: typing.Annotated[float, typer.Option(help='Length.')] = 30,
    count: typing.Annotated[int, typer.Option(help='Number of seeds.')] = 1,
) -> None:
    """Run soaks and print what they broke.

    Exit codes: 0 nothing, 1 a promise was broken.
    """
    broken = 0
    for one in range(seed, seed + count):
        outcome = running.run(one, seconds)
        typer.echo(
            f'seed {one}: {outcome.faults} faults, {outcome.whole} of '
            f'{outcome.calls} requests whole, {len(outcome.broken)} broken',
        )
        for told in outcome.broken:
            typer.echo(f'  {told}')
        broken += len(outcome.broken)
    sys.exit(1 if broken else 0)


typer.run(soak)
