"""The fair queue before an endpoint, against a naive version."""

from hypothesis import settings, stateful
from hypothesis import strategies as st

from camphorstair_core import admission, queueing

ORGANISATIONS = ('large', 'small', 'high')
FULL_LIMIT = 4
FAR_S = 1000000.0


def warm_gate() -> admission.Admission:
    """Return the admission of an endpoint at its full limit."""
    return admission.Admission(FULL_LIMIT, 1, FULL_LIMIT, watched=True)


def test_a_large_organisation_does_not_starve_a_small_one() -> None:
    gate, queue = warm_gate(), queueing.Queue()
    running = [
        queueing.arrive(queue, gate, 'large', 1, FAR_S, 0)[0]
        for _ in range(FULL_LIMIT + 3)
    ][:FULL_LIMIT]
    small = queueing.arrive(queue, gate, 'small', 1, FAR_S, 0)[0]
    queueing.record_end(queue, running[0])
    ended = admission.Outcome.given_up
    admission.finish(gate, running[0].generation, ended, 0)
    assert queueing.advance(queue, gate, 0) == [small]
    assert small.turn is queueing.AdmissionState.admitted


def test_a_full_queue_displaces_the_largest() -> None:
    gate, queue = warm_gate(), queueing.Queue()
    capacity = queueing.CAPACITY_SHARE * FULL_LIMIT
    for _ in range(FULL_LIMIT + capacity):
        last = queueing.arrive(queue, gate, 'large', 1, FAR_S, 0)[0]
    small, changed = queueing.arrive(queue, gate, 'small', 1, FAR_S, 0)
    assert changed == [last]
    assert small.turn is queueing.AdmissionState.waiting
    one_more = queueing.arrive(queue, gate, 'large', 1, FAR_S, 0)[0]
    assert one_more.turn is queueing.AdmissionState.refused


def test_what_can_not_meet_its_deadline_is_refused_at_once() -> None:
    gate, queue = warm_gate(), queueing.Queue()
    gate.first_part_s = 0.5
    late = queueing.arrive(queue, gate, 'small', 1, 0.4, 0)[0]
    assert late.turn is queueing.AdmissionState.refused
    assert not gate.in_flight


class QueueMachine(stateful.RuleBasedStateMachine):
    """Compares the queue with lists of names."""

    def __init__(self) -> None:
        """Begin empty."""
        super().__init__()
        self.gate = warm_gate()
        self.queue = queueing.Queue()
        self.now_s = 1.0
        self.waiting: list[queueing.Waiter] = []
        self.running: list[queueing.Waiter] = []

    @stateful.rule(name=st.sampled_from(ORGANISATIONS))
    def arrive(self, name: str) -> None:
        """Let a request come."""
        priority = 2 if name == 'high' else 1
        waiter = queueing.arrive(
            self.queue,
            self.gate,
            name,
            priority,
            FAR_S,
            self.now_s,
        )[0]
        self.waiting.append(waiter)
        self._serve_naively()

    @stateful.rule(seconds=st.sampled_from((0.1, 0.2)))
    def wait(self, seconds: float) -> None:
        """Let time pass."""
        self.now_s += seconds
        queueing.advance(self.queue, self.gate, self.now_s)
        self._serve_naively()

    @stateful.rule(choice=st.integers(0, FULL_LIMIT - 1))
    def end(self, choice: int) -> None:
        """Let a request end."""
        if choice >= len(self.running):
            return
        waiter = self.running.pop(choice)
        queueing.record_end(self.queue, waiter)
        admission.finish(
            self.gate,
            waiter.generation,
            admission.Outcome.given_up,
            self.now_s,
        )
        queueing.advance(self.queue, self.gate, self.now_s)
        self._serve_naively()

    @stateful.rule(choice=st.integers(0, 2 * FULL_LIMIT))
    def give_up(self, choice: int) -> None:
        """Let a waiting request go."""
        if choice < len(self.waiting):
            queueing.give_up(self.queue, self.waiting.pop(choice))

    @stateful.invariant()
    def same(self) -> None:
        """Compare the two versions."""
        waiting = queueing.AdmissionState.waiting
        admitted = queueing.AdmissionState.admitted
        assert all(one.turn is waiting for one in self.waiting)
        assert all(one.turn is admitted for one in self.running)
        assert self.queue.waiters == self.waiting
        assert self.gate.in_flight == len(self.running)

    @stateful.invariant()
    def work_conserving(self) -> None:
        """No place is free while a request waits."""
        assert not self.waiting or len(self.running) == FULL_LIMIT

    def _serve_naively(self) -> None:
        self.waiting = [
            one for one in self.waiting if one.deadline_s > self.now_s
        ]
        while self.waiting and len(self.running) < FULL_LIMIT:
            names = [one.organisation for one in self.running]
            shares = [
                (names.count(one.organisation) + 1)
                / queueing.WEIGHTS[one.priority]
                for one in self.waiting
            ]
            best = shares.index(min(shares))
            self.running.append(self.waiting.pop(best))
        if len(self.waiting) > queueing.CAPACITY_SHARE * FULL_LIMIT:
            self._displace_naively()

    def _displace_naively(self) -> None:
        everyone = [one.organisation for one in self.running + self.waiting]
        shares = [
            everyone.count(one.organisation) / queueing.WEIGHTS[one.priority]
            for one in self.waiting
        ]
        largest = max(shares)
        places = [
            place for place, share in enumerate(shares) if share == largest
        ]
        newest = max(places, key=lambda place: self.waiting[place].number)
        self.waiting.pop(newest)


TestQueue = QueueMachine.TestCase
TestQueue.settings = settings(max_examples=100, stateful_step_count=50)
