"""Model checking: late orders for two held steps do not mix two maps.

For the mutant, which is the model with the fault of review/1, the checker must
find a violation of the property.
"""

import minicheck

from specs import group_holds


def test_all_ranks_begin_each_pass_with_the_same_map() -> None:
    report = minicheck.check_safety(group_holds.build())
    assert report['properties']['one map']['holds'] is True


def test_arming_anew_for_another_step_is_found() -> None:
    report = minicheck.check_safety(
        group_holds.build(group_holds.Mutant.arms_anew)
    )
    assert report['properties']['one map']['holds'] is False
