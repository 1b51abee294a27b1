"""The specification of acceptance and spread, and its mutants."""

import typing

import minicheck
import pytest

from specs import configuration, configuration_states

_FAULTS = (
    (configuration_states.Mutant.no_compare, 'one configuration a revision'),
    (configuration_states.Mutant.no_session, 'one configuration a revision'),
    (configuration_states.Mutant.no_repair, 'one configuration a revision'),
    (configuration_states.Mutant.blind_retry, 'a change is accepted once'),
    (configuration_states.Mutant.no_touch, 'an outcome is the truth'),
    (configuration_states.Mutant.processes_first, 'an outcome is the truth'),
    (configuration_states.Mutant.accepts_lower, 'no revision goes down'),
)


# A counterexample found in a part of the states is one all the same.
MUTANT_STATES = 30000


def _safety(
    mutant: configuration_states.Mutant,
    max_states: int = 200000,
) -> dict[str, typing.Any]:
    protocol = configuration.protocol(mutant)
    report = minicheck.check_safety(protocol, max_states)
    return {
        name: found['holds'] for name, found in report['properties'].items()
    }


def test_the_protocol_is_safe() -> None:
    found = _safety(configuration_states.Mutant.none)
    assert found == dict.fromkeys(found, True)


def test_what_is_accepted_reaches_every_process() -> None:
    protocol = configuration.protocol()
    assert minicheck.check_liveness(protocol)['holds'] is True


@pytest.mark.parametrize(('mutant', 'invariant'), _FAULTS)
def test_a_mutant_has_a_counterexample(
    mutant: configuration_states.Mutant,
    invariant: str,
) -> None:
    assert _safety(mutant, MUTANT_STATES)[invariant] is False


def test_without_peers_an_outage_keeps_processes_apart() -> None:
    protocol = configuration.protocol(configuration_states.Mutant.no_peers)
    assert minicheck.check_liveness(protocol)['holds'] is False
