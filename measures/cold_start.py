"""Overload of cold endpoints, and their time to full use.

A simulated engine restarts at random and is cold after each restart.
"""

import random

import attrs

from camphorstair_core import admission
from measures import reports

COLD_LIMIT = 2
FULL_LIMIT = 8
WARM_AFTER = 16
RUN_S = 600.0
STEP_S = 0.05
SERVICE_S = 0.4
COLD_FACTOR = 2.0
BUSY_ARRIVAL_PROBABILITY = 0.9
RESTART_PROBABILITY = 0.0008
QUIET_ARRIVAL_PROBABILITY = 0.02


@attrs.define
class Running:
    """A request that the engine is running.

    :ivar generation: Generation of the admission at its start.
    :ivar started_s: Simulated time of its start.
    :ivar end_s: Simulated time of its end.
    """

    generation: int
    started_s: float
    end_s: float


@attrs.define
class Engine:
    """A simulated engine with little capacity until it is warm.

    :ivar answered: Requests answered since the last restart.
    :ivar running: Requests that it is running.
    """

    answered: int = 0
    running: list[Running] = attrs.field(factory=list)

    def current_capacity(self) -> int:
        """Return the concurrent requests that the engine sustains now."""
        return FULL_LIMIT if self.answered >= WARM_AFTER else COLD_LIMIT


@attrs.define
class Trial:
    """One endpoint under a load that alternates between full and low.

    :ivar ramp: Whether the limit starts at that of a cold engine and rises;
        False for the baseline, which always uses the full limit.
    :ivar generator: Draws arrivals, service times and restarts.
    :ivar gate: The production admission control.
    :ivar engine: The engine; a new one after each restart.
    :ivar now_s: Simulated time.
    :ivar cold_since_s: Time when the engine was last started; None once it
        has been in full use.
    :ivar requests: Number of admitted requests.
    :ivar max_excess: Largest excess over the engine's capacity.
    :ivar over_limit: Number of requests admitted beyond that capacity.
    :ivar restarts: Number of restarts.
    :ivar full_use_s: Times from a start to full use.
    """

    ramp: bool
    generator: random.Random
    gate: admission.Admission = attrs.field(factory=admission.Admission)
    engine: Engine = attrs.field(factory=Engine)
    now_s: float = 0
    cold_since_s: float | None = 0
    requests: int = 0
    max_excess: int = 0
    over_limit: int = 0
    restarts: int = 0
    full_use_s: list[float] = attrs.field(factory=list)


def measure(seed: int) -> reports.Report:
    """Measure repeated restarts of an engine under varying load.

    The baseline admits up to the full limit at once.

    :param seed: Seed of the random generator.
    """
    targets = [
        reports.Target('requests', at_least=10000),
        reports.Target('over_limit', at_most=0),
        reports.Target('most_over', at_most=0),
    ]
    figures = _simulate(seed, ramp=True)
    baseline = _simulate(seed, ramp=False)
    return reports.Report('cold_start', seed, figures, baseline, targets)


def _simulate(seed: int, *, ramp: bool) -> dict[str, float]:
    trial = Trial(ramp, random.Random(seed))
    admission.set_limits(trial.gate, FULL_LIMIT, COLD_LIMIT)
    admission.set_watched(trial.gate, watched=True)
    for step_number in range(round(RUN_S * 4 / STEP_S)):
        trial.now_s = step_number * STEP_S
        _step(trial)
    full_use_times_s = sorted(trial.full_use_s)
    return {
        'requests': trial.requests,
        'engine_restarts': trial.restarts,
        'over_limit': trial.over_limit,
        'most_over': trial.max_excess,
        'full_use_median_s': full_use_times_s[len(full_use_times_s) // 2]
        if full_use_times_s
        else 0,
    }


def _step(trial: Trial) -> None:
    _finish_due_requests(trial)
    if trial.generator.random() < RESTART_PROBABILITY:
        _restart_engine(trial)
    busy = (trial.now_s // 60) % 3 != 2
    share = BUSY_ARRIVAL_PROBABILITY if busy else QUIET_ARRIVAL_PROBABILITY
    for _ in range(FULL_LIMIT):
        if trial.generator.random() < share:
            _offer_request(trial)


def _offer_request(trial: Trial) -> None:
    """Offer a request; run it if the admission control admits it."""
    if not trial.ramp:
        trial.gate.limit = FULL_LIMIT
    if admission.refusal(trial.gate) is not None:
        return
    trial.requests += 1
    generation = admission.start(trial.gate)
    engine = trial.engine
    service_s = SERVICE_S
    if engine.current_capacity() < FULL_LIMIT:
        service_s *= COLD_FACTOR
    end_s = trial.now_s + service_s * trial.generator.uniform(0.5, 1.5)
    engine.running.append(Running(generation, trial.now_s, end_s))
    excess = len(engine.running) - engine.current_capacity()
    trial.over_limit += excess > 0
    trial.max_excess = max(trial.max_excess, excess)
    if trial.cold_since_s is not None and len(engine.running) == FULL_LIMIT:
        trial.full_use_s.append(trial.now_s - trial.cold_since_s)
        trial.cold_since_s = None


def _finish_due_requests(trial: Trial) -> None:
    engine = trial.engine
    due_requests = [
        request for request in engine.running if request.end_s <= trial.now_s
    ]
    for request in due_requests:
        engine.running.remove(request)
        engine.answered += 1
        first_part_delay_s = (request.end_s - request.started_s) / 4
        admission.record_first_part(
            trial.gate, request.generation, first_part_delay_s
        )
        admission.finish(
            trial.gate,
            request.generation,
            admission.Outcome.whole,
            trial.now_s,
        )


def _restart_engine(trial: Trial) -> None:
    """Replace the engine by a cold one.

    All connections break, also the one that detects restarts.
    """
    trial.restarts += 1
    trial.cold_since_s = trial.now_s
    broken = trial.engine.running
    trial.engine = Engine()
    for request in broken:
        admission.finish(
            trial.gate,
            request.generation,
            admission.Outcome.broken,
            trial.now_s,
        )
    admission.set_watched(trial.gate, watched=False)
    admission.set_watched(trial.gate, watched=True)
