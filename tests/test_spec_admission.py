"""Model checking: requests at an endpoint never exceed its capacity.

For each mutant, which is the model with one deliberate fault, the checker must
find a violation of the property.
"""

import minicheck
import pytest

from specs import admission

MUTANTS = tuple(admission.Mutant)[1:]


def test_in_flight_requests_never_exceed_endpoint_capacity() -> None:
    report = minicheck.check_safety(admission.build())
    assert report['properties']['bearable']['holds'] is True


@pytest.mark.parametrize('mutant', MUTANTS)
def test_a_mutant_is_found(mutant: admission.Mutant) -> None:
    report = minicheck.check_safety(admission.build(mutant))
    assert report['properties']['bearable']['holds'] is False
