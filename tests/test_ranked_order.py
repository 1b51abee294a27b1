"""Which waiting requests of a ranked service start, wait and are refused."""

import pytest
import ranked_play
from hypothesis import stateful
from hypothesis import strategies as st

from camphorstair_core.fleet import ranked_order, ranked_refusals, waiting

# Load at usual times; a burst exceeds the slots, the second one fits in them.
USUAL_LOAD = 0.8
SHARES = (0.32, 0.14, 0.42)
BURST_S, URGENT_S, END_S = 3, 9, 15
MIN_ON_TIME = 0.95
MAX_DISADVANTAGE = 0.05
MIN_LARGE_RATIO = 0.5
MIN_START_SHARE = 0.1
ENTRY_SLOTS = 10


def _usual(priority: int) -> float:
    return USUAL_LOAD * SHARES[priority] / sum(SHARES)


def _burst(factor: float, large: float = 0.05) -> list[ranked_play.Flow]:
    flow = ranked_play.Flow
    return [
        flow(0, _usual(0), 0, URGENT_S),
        flow(0, 1.8 * _usual(0), URGENT_S, END_S),
        flow(1, _usual(1), 0, END_S),
        flow(2, _usual(2), 0, BURST_S, large=large),
        flow(2, factor * _usual(2), BURST_S, URGENT_S, large=large),
        flow(2, _usual(2), URGENT_S, END_S, large=large),
    ]


def _waiter(
    priority: int = 0,
    timely_s: float = 1,
    useful_s: float = 3,
    **fields: object,
) -> waiting.Waiter:
    waiter = waiting.Waiter('usual', priority, 0, timely_s, useful_s)
    for name, value in fields.items():
        setattr(waiter, name, value)
    return waiter


def _assert_priorities_kept(outcomes: ranked_play.Outcomes) -> None:
    served = outcomes.served_by_priority()
    for urgent, share in enumerate(served):
        assert share >= max(served[urgent:]) - MAX_DISADVANTAGE, served


@pytest.mark.parametrize('factor', [2.2, 2.35, 2.5])
def test_urgent_requests_are_on_time_through_bursts(factor: float) -> None:
    """Guards against less urgent requests that delay urgent ones."""
    outcomes = ranked_play.play(_burst(factor), is_ranked=True)
    assert outcomes.on_time(0, BURST_S) >= MIN_ON_TIME
    assert outcomes.on_time(0, URGENT_S) >= MIN_ON_TIME
    _assert_priorities_kept(outcomes)
    assert not outcomes.refused_beside_free_slot
    assert not set(outcomes.refused) & set(outcomes.started)
    large = outcomes.served(
        lambda waiter: waiter.work_s > ranked_play.WORK_S * 1.5
    )
    assert large >= MIN_LARGE_RATIO * outcomes.served(
        lambda waiter: waiter.priority == 2
    )


@pytest.mark.parametrize('is_ranked', [False, True])
def test_entry_with_few_slots_serves_urgent_requests_most(
    is_ranked: bool,
) -> None:
    """Guards against giving up late urgent requests for timely others.

    The order of other services serves priority 1 less often than priority 2.
    """
    outcomes = ranked_play.Outcomes()
    for seed in range(20):
        played = ranked_play.play(
            _burst(2.35, 0), is_ranked=is_ranked, slots=ENTRY_SLOTS, seed=seed
        )
        outcomes.arrived += played.arrived
        outcomes.started |= played.started
    served = outcomes.served_by_priority()
    if is_ranked:
        _assert_priorities_kept(outcomes)
    else:
        assert served[1] < served[2]


@pytest.mark.parametrize('is_ranked', [False, True])
def test_endless_urgent_requests_leave_a_tenth_of_the_starts(
    is_ranked: bool,
) -> None:
    """Guards against starving any of the less urgent priorities."""
    flows = [
        ranked_play.Flow(0, 1.3, 0, 15),
        ranked_play.Flow(1, 0.2, 0, 15),
        ranked_play.Flow(2, 0.4, 0, 15),
    ]
    outcomes = ranked_play.play(flows, is_ranked=is_ranked)
    is_served = outcomes.share_of_starts(2) >= MIN_START_SHARE
    assert is_served is is_ranked
    if is_ranked:
        _assert_priorities_kept(outcomes)


def test_urgent_requests_at_twice_the_slots_are_served_most() -> None:
    """Guards against reserved starts that cost urgent requests too much."""
    flows = [
        ranked_play.Flow(0, 2, 0, 15),
        ranked_play.Flow(1, 0.2, 0, 15),
        ranked_play.Flow(2, 0.4, 0, 15),
    ]
    outcomes = ranked_play.play(flows, is_ranked=True)
    assert outcomes.share_of_starts(2) >= MIN_START_SHARE
    _assert_priorities_kept(outcomes)


def test_small_organisation_is_served_beside_a_large_one() -> None:
    """Guards against a flood of one organisation that starves another."""
    flows = [
        ranked_play.Flow(2, 2, 0, 10, 'large'),
        ranked_play.Flow(2, 0.05, 0, 10, 'small', large=0.2),
    ]
    outcomes = ranked_play.play(flows, is_ranked=True)
    small = outcomes.served(lambda waiter: waiter.organisation == 'small')
    large = outcomes.served(lambda waiter: waiter.organisation == 'large')
    assert small >= large


@pytest.mark.parametrize(
    ('now_s', 'tier'), [(0, 2), (1, 2), (1.1, 5), (2.5, 3), (4, 3)]
)
def test_tier_follows_the_time_that_is_left(now_s: float, tier: int) -> None:
    """Guards against a late request that is never the next one."""
    assert ranked_order.tier(_waiter(1), now_s) == tier


def test_early_repetitions_and_large_users_go_last_in_their_tier() -> None:
    """Guards against callers that gain by ignoring Retry-After or by volume."""
    early = _waiter(timely_s=0.1, came_early=True)
    large = _waiter(timely_s=0.2, organisation='large')
    tight, loose = _waiter(timely_s=0.3), _waiter(timely_s=0.4)
    queue = waiting.Queue([early, loose, large, tight], {'large': 8})
    ordered = ranked_order.sorted_by_cost(queue, 0, ranked_order.Turn())
    assert ordered == [tight, loose, large, early]


def test_least_urgent_priority_gets_one_of_ten_starts() -> None:
    """Guards against a reserved share that comes too late or too often."""
    waiters = [_waiter(priority) for priority in (0, 1, 2) for _ in range(30)]
    queue, turn = waiting.Queue(waiters), ranked_order.Turn()
    started = []
    for _ in range(30):
        waiter = ranked_order.sorted_by_cost(queue, 0, turn)[0]
        ranked_order.record_start(turn, queue, waiter)
        waiting.start(queue, waiter)
        started.append(waiter.priority)
    assert started[:11] == [0, 0, 0, 0, 0, 0, 0, 0, 0, 2, 1]
    assert [started.count(priority) for priority in (0, 1, 2)] == [25, 2, 3]


def test_of_equal_requests_the_last_in_the_order_is_refused() -> None:
    """Guards against refusing a request with less slack than another."""
    less_urgent = [_waiter(2, work_s=1), _waiter(2, work_s=1)]
    ordered = [*less_urgent, _waiter(0, useful_s=1.5, work_s=1)]
    refused = ranked_refusals.to_refuse(ordered, lambda work_s: work_s, 0)
    assert refused == less_urgent[1:]


def test_nothing_is_refused_while_the_wait_is_unknown() -> None:
    """Guards against refusals that no real start supports."""
    assert not ranked_refusals.to_refuse([_waiter(work_s=9)], lambda _: None, 0)


def test_requests_are_refused_only_if_that_lets_another_start() -> None:
    """Guards against refusing startable requests for a lost one."""
    small, lost = _waiter(2, work_s=1), _waiter(0, useful_s=0.1, work_s=1)
    assert ranked_refusals.to_refuse(
        [small, lost], lambda work_s: work_s + 0.5, 0
    ) == [lost]
    saved = _waiter(0, useful_s=1, work_s=1)
    assert ranked_refusals.to_refuse(
        [small, saved], lambda work_s: work_s + 0.5, 0
    ) == [small]


def test_large_requests_are_kept_at_least_half_as_often() -> None:
    """Guards against refusing every large request in a long overload."""
    waiters = [
        _waiter(request=f'r{number}', work_s=1 if number % 10 else 4)
        for number in range(400)
    ]
    refused = ranked_refusals.to_refuse(waiters, lambda work_s: work_s / 87, 0)
    kept = [waiter for waiter in waiters if waiter not in refused]
    assert len(kept) < len(waiters)
    large = sum(waiter.work_s > 1 for waiter in kept) / 40
    assert large >= MIN_LARGE_RATIO * len(kept) / len(waiters)


def test_full_queue_refuses_the_request_that_costs_callers_least() -> None:
    """Guards against refusing an urgent newcomer for one that can wait."""
    urgent, other = _waiter(0), _waiter(2)
    queue = waiting.Queue([urgent, other])
    assert ranked_refusals.displaced(queue, _waiter(1), 0) is other
    newcomer = _waiter(2, timely_s=2)
    assert ranked_refusals.displaced(queue, newcomer, 0) is newcomer


def test_full_queue_keeps_some_requests_of_each_priority() -> None:
    """Guards against displacing all requests that reserved starts are for."""
    least_urgent = _waiter(2)
    queue = waiting.Queue([least_urgent, *(_waiter(0) for _ in range(20))])
    assert ranked_refusals.displaced(queue, _waiter(0), 0).priority == 0
    even = waiting.Queue([_waiter(priority) for priority in range(12)])
    newcomer = _waiter(12)
    assert ranked_refusals.displaced(even, newcomer, 0) is newcomer


class RankedQueue(stateful.RuleBasedStateMachine):
    """Plays any sequence of arrivals, starts and refusals."""

    def __init__(self) -> None:
        """Create an empty queue."""
        super().__init__()
        self.queue = waiting.Queue()
        self.turn = ranked_order.Turn()
        self.now_s: float = 0
        self.done: set[waiting.Waiter] = set()
        self.passed_over = (0, 0)

    @stateful.rule(
        numbers=st.tuples(st.integers(0, 3), st.integers(0, 3)),
        times_s=st.tuples(st.floats(-1, 2), st.floats(0, 4), st.floats(0, 5)),
        early=st.booleans(),
    )
    def arrive(
        self,
        numbers: tuple[int, int],
        times_s: tuple[float, float, float],
        early: bool,
    ) -> None:
        """Enqueue a request of a priority and an organisation."""
        newcomer = _waiter(
            numbers[0],
            self.now_s + times_s[0],
            self.now_s + times_s[0] + times_s[1],
            organisation=f'organisation-{numbers[1]}',
            came_early=early,
            work_s=times_s[2],
            request=f'{self.now_s} {len(self.queue.waiters)}',
        )
        displaced = ranked_refusals.displaced(self.queue, newcomer, self.now_s)
        assert displaced in {newcomer, *self.queue.waiters}
        self.queue.waiters.append(newcomer)

    @stateful.rule(wait_s=st.floats(0, 2))
    def wait(self, wait_s: float) -> None:
        """Let time pass."""
        self.now_s += wait_s

    @stateful.precondition(lambda machine: machine.queue.waiters)
    @stateful.rule(count=st.integers(1, 12))
    def start(self, count: int) -> None:
        """Start requests; count those since one of the least urgent."""
        for _ in range(min(count, len(self.queue.waiters))):
            ordered = self._ordered()
            started = ordered[0]
            least_urgent = max(waiter.priority for waiter in ordered)
            level, passed_over = self.passed_over
            if started.priority == least_urgent:
                passed_over = 0
            else:
                passed_over = passed_over + 1 if level == least_urgent else 1
            self.passed_over = (least_urgent, passed_over)
            assert passed_over < 10
            ranked_order.record_start(self.turn, self.queue, started)
            waiting.start(self.queue, started)
            self._finish({started})

    @stateful.rule(slots=st.integers(1, 4))
    def refuse(self, slots: int) -> None:
        """Refuse requests; all others can start in time then."""
        ordered = self._ordered()
        refused = ranked_refusals.to_refuse(
            ordered, lambda work_s: work_s / slots, self.now_s
        )
        self._finish(set(refused))
        assert len(refused) == len(set(refused))
        ahead_s: float = 0
        for waiter in ordered:
            if waiter not in refused:
                start_s = self.now_s + ahead_s / slots
                assert start_s < waiter.latest_useful_start_s + 1e-6
                ahead_s += waiter.work_s
        for waiter in refused:
            self.queue.waiters.remove(waiter)

    @stateful.invariant()
    def turn_is_bounded(self) -> None:
        """State grows with the waiting priorities only."""
        assert len(self.turn.passed_over) <= 3

    def _ordered(self) -> list[waiting.Waiter]:
        ordered = ranked_order.sorted_by_cost(self.queue, self.now_s, self.turn)
        assert set(ordered) == set(self.queue.waiters)
        tiers = [ranked_order.tier(waiter, self.now_s) for waiter in ordered]
        assert tiers[1:] == sorted(tiers[1:])
        return ordered

    def _finish(self, waiters: set[waiting.Waiter]) -> None:
        assert not waiters & self.done
        self.done |= waiters


TestRankedQueue = RankedQueue.TestCase
