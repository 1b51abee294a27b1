"""The switch of an expert map, checked over all orders of events."""

import minicheck
import pytest

from specs import expert_switch
from specs import expert_switch_world as world_table

Mutant = world_table.Mutant
Fault = world_table.Fault

ONE_MAP = 'one_map_in_a_step'
OLD_NUMBERS = 'old_numbers_without_effect'


@pytest.mark.parametrize('checks', [False, True])
def test_switch_is_safe(checks: bool) -> None:
    protocol = expert_switch.build(Mutant.none, checks=checks)
    found = minicheck.check_safety(protocol)
    assert found['exhaustive']
    assert found['properties'][ONE_MAP]['holds'] is True
    assert found['properties'][OLD_NUMBERS]['holds'] is True


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
    found = minicheck.check_safety(protocol)
    assert found['properties'][broken]['holds'] is False
