"""No pass begins on two maps, and every mutant of that is found out."""

import minicheck
import pytest

from specs import group_orders

MUTANTS = tuple(group_orders.Mutant)[1:]


def test_no_pass_begins_on_two_maps() -> None:
    found = minicheck.check_safety(group_orders.build())
    assert found['properties']['one map']['holds'] is True


@pytest.mark.parametrize('mutant', MUTANTS)
def test_a_mutant_is_found(mutant: group_orders.Mutant) -> None:
    found = minicheck.check_safety(group_orders.build(mutant))
    assert found['properties']['one map']['holds'] is False
