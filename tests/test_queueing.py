"""The fair queue of an endpoint agrees with a simple reference model."""

from hypothesis import settings, stateful
from hypothesis import strategies as st

from camphorstair_core import admission, queueing

ORGANISATIONS = ('large', 'small', 'high')
FULL_LIMIT = 4
DISTANT_DEADLINE_S = 1000000.0


def warm_admission() -> admission.Admission:
    """Return the admission of an endpoint at its full limit."""
    return admission.Admission(FULL_LIMIT, 1, FULL_LIMIT, watched=True)


def test_a_large_organisation_does_not_starve_a_small_one() -> None:
    endpoint_admission, queue = warm_admission(), queueing.Queue()
    running = [
        queueing.arrive(
            queue, endpoint_admission, 'large', 1, DISTANT_DEADLINE_S, 0
        )[0]
        for _ in range(FULL_LIMIT + 3)
    ][:FULL_LIMIT]
    small_waiter = queueing.arrive(
        queue, endpoint_admission, 'small', 1, DISTANT_DEADLINE_S, 0
    )[0]
    queueing.record_end(queue, running[0])
    ended = admission.Outcome.given_up
    admission.finish(endpoint_admission, running[0].generation, ended, 0)
    assert queueing.advance(queue, endpoint_admission, 0) == [small_waiter]
    assert small_waiter.turn is queueing.AdmissionState.admitted


def test_full_queue_displaces_request_of_largest_organisation() -> None:
    endpoint_admission, queue = warm_admission(), queueing.Queue()
    capacity = queueing.CAPACITY_SHARE * FULL_LIMIT
    for _ in range(FULL_LIMIT + capacity):
        last = queueing.arrive(
            queue, endpoint_admission, 'large', 1, DISTANT_DEADLINE_S, 0
        )[0]
    small_waiter, changed = queueing.arrive(
        queue, endpoint_admission, 'small', 1, DISTANT_DEADLINE_S, 0
    )
    assert changed == [last]
    assert small_waiter.turn is queueing.AdmissionState.waiting
    extra_waiter = queueing.arrive(
        queue, endpoint_admission, 'large', 1, DISTANT_DEADLINE_S, 0
    )[0]
    assert extra_waiter.turn is queueing.AdmissionState.refused


def test_request_that_cannot_meet_deadline_is_refused_at_once() -> None:
    endpoint_admission, queue = warm_admission(), queueing.Queue()
    endpoint_admission.first_part_s = 0.5
    late_waiter = queueing.arrive(
        queue, endpoint_admission, 'small', 1, 0.4, 0
    )[0]
    assert late_waiter.turn is queueing.AdmissionState.refused
    assert not endpoint_admission.in_flight


class QueueMachine(stateful.RuleBasedStateMachine):
    """Compares the queue with two lists, of waiting and running requests."""

    def __init__(self) -> None:
        """Create an empty queue at an endpoint at its full limit."""
        super().__init__()
        self.admission = warm_admission()
        self.queue = queueing.Queue()
        self.now_s = 1.0
        self.waiting: list[queueing.Waiter] = []
        self.running: list[queueing.Waiter] = []

    @stateful.rule(name=st.sampled_from(ORGANISATIONS))
    def arrive(self, name: str) -> None:
        """Enqueue a request; the organisation "high" has priority 2."""
        priority = 2 if name == 'high' else 1
        waiter = queueing.arrive(
            self.queue,
            self.admission,
            name,
            priority,
            DISTANT_DEADLINE_S,
            self.now_s,
        )[0]
        self.waiting.append(waiter)
        self._update_model()

    @stateful.rule(seconds=st.sampled_from((0.1, 0.2)))
    def wait(self, seconds: float) -> None:
        """Advance the clock and the queue."""
        self.now_s += seconds
        queueing.advance(self.queue, self.admission, self.now_s)
        self._update_model()

    @stateful.rule(choice=st.integers(0, FULL_LIMIT - 1))
    def end(self, choice: int) -> None:
        """Finish the running request of an index, if there is one."""
        if choice >= len(self.running):
            return
        waiter = self.running.pop(choice)
        queueing.record_end(self.queue, waiter)
        admission.finish(
            self.admission,
            waiter.generation,
            admission.Outcome.given_up,
            self.now_s,
        )
        queueing.advance(self.queue, self.admission, self.now_s)
        self._update_model()

    @stateful.rule(choice=st.integers(0, 2 * FULL_LIMIT))
    def give_up(self, choice: int) -> None:
        """Withdraw the waiting request of an index, if there is one."""
        if choice < len(self.waiting):
            queueing.give_up(self.queue, self.waiting.pop(choice))

    @stateful.invariant()
    def same(self) -> None:
        """Check that the queue holds the requests that the model expects."""
        waiting = queueing.AdmissionState.waiting
        admitted = queueing.AdmissionState.admitted
        assert all(waiter.turn is waiting for waiter in self.waiting)
        assert all(waiter.turn is admitted for waiter in self.running)
        assert self.queue.waiters == self.waiting
        assert self.admission.in_flight == len(self.running)

    @stateful.invariant()
    def work_conserving(self) -> None:
        """Check that no slot is free while a request waits."""
        assert not self.waiting or len(self.running) == FULL_LIMIT

    def _update_model(self) -> None:
        """Drop expired requests, admit by fair share, displace the excess."""
        self.waiting = [
            waiter for waiter in self.waiting if waiter.deadline_s > self.now_s
        ]
        while self.waiting and len(self.running) < FULL_LIMIT:
            running_organisations = [
                waiter.organisation for waiter in self.running
            ]
            shares = [
                (running_organisations.count(waiter.organisation) + 1)
                / queueing.WEIGHTS[waiter.priority]
                for waiter in self.waiting
            ]
            smallest_share_index = shares.index(min(shares))
            self.running.append(self.waiting.pop(smallest_share_index))
        if len(self.waiting) > queueing.CAPACITY_SHARE * FULL_LIMIT:
            self._displace_in_model()

    def _displace_in_model(self) -> None:
        """Remove the newest waiting request of the largest share."""
        organisations = [
            waiter.organisation for waiter in self.running + self.waiting
        ]
        shares = [
            organisations.count(waiter.organisation)
            / queueing.WEIGHTS[waiter.priority]
            for waiter in self.waiting
        ]
        largest_share = max(shares)
        positions = [
            position
            for position, share in enumerate(shares)
            if share == largest_share
        ]
        newest = max(
            positions, key=lambda position: self.waiting[position].number
        )
        self.waiting.pop(newest)


TestQueue = QueueMachine.TestCase
TestQueue.settings = settings(max_examples=100, stateful_step_count=50)
