"""Results of measures and their output formats."""

import attrs
import msgspec


@attrs.define
class Target:
    """A bound that a figure must keep, as stated by the project.

    :ivar figure: Name of the figure.
    :ivar at_most: Upper bound, or None.
    :ivar at_least: Lower bound, or None.
    """

    figure: str
    at_most: float | None = None
    at_least: float | None = None

    def met(self, value: float) -> bool:
        """Return whether a value is within the bounds."""
        low = self.at_least is None or value >= self.at_least
        high = self.at_most is None or value <= self.at_most
        return low and high


@attrs.define
class Report:
    """The result of one measure.

    :ivar name: Name of the measure.
    :ivar seed: Seed of its random generator.
    :ivar figures: Measured values; the unit is the suffix of the name.
    :ivar baseline: Values of a simpler alternative, under the same names.
    :ivar targets: Bounds of some figures.
    """

    name: str
    seed: int
    figures: dict[str, float]
    baseline: dict[str, float] = attrs.field(factory=dict)
    targets: list[Target] = attrs.field(factory=list)

    def met(self) -> dict[str, bool]:
        """Return whether each figure with a target is within its bounds."""
        return {
            target.figure: target.met(self.figures[target.figure])
            for target in self.targets
        }


@attrs.define
class _JsonReport:
    name: str
    seed: int
    figures: dict[str, float]
    baseline: dict[str, float]
    targets: list[Target]
    met: dict[str, bool]


def to_json(report: Report) -> str:
    """Return a report as a JSON object, encoded as a string."""
    whole = _JsonReport(
        report.name,
        report.seed,
        report.figures,
        report.baseline,
        report.targets,
        report.met(),
    )
    return msgspec.json.encode(whole).decode()


def to_table(report: Report) -> str:
    """Return a report as a plain text table.

    The columns are figure, value, baseline, target and outcome.
    """
    met = report.met()
    bounds = {target.figure: target for target in report.targets}
    rows = [f'{report.name} (seed {report.seed})']
    for figure, value in report.figures.items():
        baseline = _format_number(report.baseline.get(figure))
        bound = _format_bound(bounds.get(figure))
        outcome = _format_outcome(met.get(figure))
        row = f'  {figure:44} {_format_number(value):>14} {baseline:>14}'
        rows.append(f'{row} {bound:>14} {outcome}')
    return '\n'.join(rows)


def _format_number(value: float | None) -> str:
    return '' if value is None else f'{value:.6g}'


def _format_bound(target: Target | None) -> str:
    if target is None:
        return ''
    if target.at_most is not None:
        return f'<= {target.at_most:g}'
    return f'>= {target.at_least:g}'


def _format_outcome(met: bool | None) -> str:
    if met is None:
        return ''
    return 'met' if met else 'MISSED'
