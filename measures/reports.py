"""The result of a measure, and how it is printed."""

import attrs
import msgspec


@attrs.define
class Target:
    """A bound that the project states for a figure.

    :ivar figure: Name of the figure.
    :ivar at_most: Upper bound, or None.
    :ivar at_least: Lower bound, or None.
    """

    figure: str
    at_most: float | None = None
    at_least: float | None = None

    def met(self, value: float) -> bool:
        """Tell whether a value keeps the bound."""
        low = self.at_least is None or value >= self.at_least
        high = self.at_most is None or value <= self.at_most
        return low and high


@attrs.define
class Report:
    """The result of one measure.

    :ivar name: Its name.
    :ivar seed: The seed of its random generator.
    :ivar figures: Measured values; the unit is the suffix of the name.
    :ivar baseline: Values of the naive version, under the same names.
    :ivar targets: Bounds that the project states.
    """

    name: str
    seed: int
    figures: dict[str, float]
    baseline: dict[str, float] = attrs.field(factory=dict)
    targets: list[Target] = attrs.field(factory=list)

    def met(self) -> dict[str, bool]:
        """Return for each target whether its figure keeps it."""
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
    """Return a report as one JSON object."""
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
    """Return a report as lines of a table."""
    met = report.met()
    bounds = {target.figure: target for target in report.targets}
    rows = [f'{report.name} (seed {report.seed})']
    for figure, value in report.figures.items():
        baseline = _number(report.baseline.get(figure))
        bound = _bound(bounds.get(figure))
        outcome = _outcome(met.get(figure))
        row = f'  {figure:44} {_number(value):>14} {baseline:>14}'
        rows.append(f'{row} {bound:>14} {outcome}')
    return '\n'.join(rows)


def _number(value: float | None) -> str:
    return '' if value is None else f'{value:.6g}'


def _bound(target: Target | None) -> str:
    if target is None:
        return ''
    if target.at_most is not None:
        return f'<= {target.at_most:g}'
    return f'>= {target.at_least:g}'


def _outcome(met: bool | None) -> str:
    if met is None:
        return ''
    return 'met' if met else 'MISSED'
