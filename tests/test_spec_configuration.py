"""Model checking of the acceptance and distribution of configurations.

For each mutant, which is the model with one deliberate fault, the checker must
find a violation of its invariant.
"""

import typing

import minicheck
import pytest

from specs import configuration, configuration_states

_VIOLATED_INVARIANTS = (
    (configuration_states.Mutant.no_compare, 'one configuration a revision'),
    (configuration_states.Mutant.no_session, 'one configuration a revision'),
    (configuration_states.Mutant.no_repair, 'one configuration a revision'),
    (configuration_states.Mutant.blind_retry, 'a change is accepted once'),
    (configuration_states.Mutant.no_touch, 'an outcome is the truth'),
    (configuration_states.Mutant.processes_first, 'an outcome is the truth'),
    (configuration_states.Mutant.accepts_lower, 'no revision goes down'),
)


# A counterexample is valid even if the search stops before it has visited all
# states.
MUTANT_STATES = 30000


def _check_invariants(
    mutant: configuration_states.Mutant,
    max_states: int = 200000,
) -> dict[str, typing.Any]:
    """Return by invariant whether it holds."""
    protocol = configuration.protocol(mutant)
    report = minicheck.check_safety(protocol, max_states)
    return {
        name: property_report['holds']
        for name, property_report in report['properties'].items()
    }


def test_the_protocol_is_safe() -> None:
    holds_by_invariant = _check_invariants(configuration_states.Mutant.none)
    assert holds_by_invariant == dict.fromkeys(holds_by_invariant, True)


def test_accepted_configuration_reaches_every_process() -> None:
    protocol = configuration.protocol()
    assert minicheck.check_liveness(protocol)['holds'] is True


@pytest.mark.parametrize(('mutant', 'invariant'), _VIOLATED_INVARIANTS)
def test_a_mutant_has_a_counterexample(
    mutant: configuration_states.Mutant,
    invariant: str,
) -> None:
    assert _check_invariants(mutant, MUTANT_STATES)[invariant] is False


def test_outage_without_peers_prevents_convergence() -> None:
    protocol = configuration.protocol(configuration_states.Mutant.no_peers)
    assert minicheck.check_liveness(protocol)['holds'] is False
