"""The admission bound holds, and every mutant of it is found out."""

import minicheck
import pytest

from specs import admission

MUTANTS = tuple(admission.Mutant)[1:]


def test_the_endpoint_always_bears_what_it_has() -> None:
    found = minicheck.check_safety(admission.build())
    assert found['properties']['bearable']['holds'] is True


@pytest.mark.parametrize('mutant', MUTANTS)
def test_a_mutant_is_found(mutant: admission.Mutant) -> None:
    found = minicheck.check_safety(admission.build(mutant))
    assert found['properties']['bearable']['holds'] is False
