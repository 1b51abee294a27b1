"""Model checking of the switch of an expert map, over all orders of events.

For each mutant, which is the model with one deliberate fault, the checker must
find a violation of its property.
"""

import minicheck
import pytest

from specs import expert_switch, expert_switch_world

Mutant = expert_switch_world.Mutant
Fault = expert_switch_world.Fault

ONE_MAP = 'one_map_in_a_step'
OLD_NUMBERS = 'old_numbers_without_effect'


@pytest.mark.parametrize('checks', [False, True])
def test_switch_is_safe(checks: bool) -> None:
    protocol = expert_switch.build(Mutant.none, checks=checks)
    report = minicheck.check_safety(protocol)
    assert report['exhaustive']
    assert report['properties'][ONE_MAP]['holds'] is True
    assert report['properties'][OLD_NUMBERS]['holds'] is True


def test_group_is_never_stuck() -> None:
    protocol = expert_switch.build(Mutant.none, checks=False)
    assert minicheck.check_liveness(protocol)['holds'] is True


@pytest.mark.parametrize(
    ('mutant', 'faults', 'broken'),
    [
        (Mutant.no_acknowledgement_count, Fault.none, ONE_MAP),
        (Mutant.no_agent_fencing, Fault.none, OLD_NUMBERS),
        (Mutant.no_boundary, Fault.none, ONE_MAP),
        (Mutant.no_hold_after_restart, Fault.agent_restart, OLD_NUMBERS),
        (Mutant.no_finishing, Fault.none, ONE_MAP),
        (Mutant.no_reading_after_fencing, Fault.engine_cold, ONE_MAP),
        (Mutant.no_second_reading, Fault.engine_cold, ONE_MAP),
        (Mutant.no_base_check, Fault.engine_cold, ONE_MAP),
    ],
)
def test_mutant_is_found(mutant: Mutant, faults: Fault, broken: str) -> None:
    protocol = expert_switch.build(mutant, checks=False, faults=faults)
    report = minicheck.check_safety(protocol)
    assert report['properties'][broken]['holds'] is False
