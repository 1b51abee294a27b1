"""Model checking: a request with an idempotency key runs at most once.

For each mutant, which is the model with one deliberate fault, the checker must
find a violation of the property.
"""

import minicheck
import pytest

from specs import at_most_once

MAX_STATES = 200_000
MUTANT_STATES = 10_000
MUTANTS = tuple(at_most_once.Mutant)[1:]


def test_no_key_runs_twice() -> None:
    report = minicheck.check_safety(at_most_once.build(), MAX_STATES)
    assert report['properties']['at_most_once']['holds'] is True


@pytest.mark.parametrize('mutant', MUTANTS)
def test_a_mutant_is_found(mutant: at_most_once.Mutant) -> None:
    report = minicheck.check_safety(at_most_once.build(mutant), MUTANT_STATES)
    assert report['properties']['at_most_once']['holds'] is False


def test_a_first_attempt_is_served_after_a_crash() -> None:
    """The protocol serves a request after a crash.

    The checker must find such a state. Without this test, a protocol that
    refuses all requests after a crash would pass as safe.
    """
    protocol = at_most_once.build()
    protocol.invariants = {
        'never_served': lambda state: not _served_after_crash(state['world']),
    }
    report = minicheck.check_safety(protocol, MUTANT_STATES)
    assert report['properties']['never_served']['holds'] is False


def _served_after_crash(world: at_most_once.World) -> bool:
    """Return whether an owner that may not know all keys ran a request."""
    owner = world.agents[world.slot.owner]
    return world.runs == 1 and owner.has_key and not world.slot.complete
