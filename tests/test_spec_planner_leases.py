"""Model checking: no version of an expert map is used twice.

For each mutant, which is the model with one deliberate fault, the checker must
find a violation of a property.
"""

import minicheck
import pytest

from specs import planner_leases

MUTANTS = tuple(planner_leases.Mutant)[1:]


def _broken_properties(mutant: planner_leases.Mutant) -> set[str]:
    report = minicheck.check_safety(planner_leases.build(mutant))
    return {
        name
        for name, outcome in report['properties'].items()
        if not outcome['holds']
    }


def test_versions_differ_though_the_store_returns_from_copies() -> None:
    assert not _broken_properties(planner_leases.Mutant.none)


@pytest.mark.parametrize('mutant', MUTANTS)
def test_a_mutant_is_found(mutant: planner_leases.Mutant) -> None:
    assert _broken_properties(mutant)
