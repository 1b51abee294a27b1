"""Model checking: no pass of a rank group begins on two expert maps.

For each mutant, which is the model with one deliberate fault, the checker must
find a violation of the property.
"""

import minicheck
import pytest

from specs import group_orders

MUTANTS = tuple(group_orders.Mutant)[1:]


def test_all_ranks_begin_pass_with_same_map() -> None:
    report = minicheck.check_safety(group_orders.build())
    assert report['properties']['one map']['holds'] is True


@pytest.mark.parametrize('mutant', MUTANTS)
def test_a_mutant_is_found(mutant: group_orders.Mutant) -> None:
    report = minicheck.check_safety(group_orders.build(mutant))
    assert report['properties']['one map']['holds'] is False
