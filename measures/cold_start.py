"""Cold endpoints: requests over what they bear, and time to full use."""

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
ARRIVAL_SHARE = 0.9
RESTART_SHARE = 0.0008
BURST_SHARE = 0.02


@attrs.define
class Running:
    """A request at the engine."""

    generation: int
    started_s: float
    end_s: float


@attrs.define
class Engine:
    """A fake engine that bears little until it has given some answers."""

    answered: int = 0
    running: list[Running] = attrs.field(factory=list)

    def bearable(self) -> int:
        """Return how many requests the engine bears."""
        return FULL_LIMIT if self.answered >= WARM_AFTER else COLD_LIMIT


@attrs.define
class Trial:
    """One endpoint under a load that would fill it.

    :ivar ramp: False for the naive version, which is at its full limit.
    :ivar cold_since_s: Since when the engine was last cold.
    """

    ramp: bool
    generator: random.Random
    gate: admission.Admission = attrs.field(factory=admission.Admission)
    engine: Engine = attrs.field(factory=Engine)
    now_s: float = 0
    cold_since_s: float | None = 0
    requests: int = 0
    most_over: int = 0
    over_limit: int = 0
    restarts: int = 0
    full_use_s: list[float] = attrs.field(factory=list)


def measure(seed: int) -> reports.Report:
    """Restart an engine again and again under load that comes and goes."""
    targets = [
        reports.Target('requests', at_least=10000),
        reports.Target('over_limit', at_most=0),
        reports.Target('most_over', at_most=0),
    ]
    figures = _measure(seed, ramp=True)
    baseline = _measure(seed, ramp=False)
    return reports.Report('cold_start', seed, figures, baseline, targets)


def _measure(seed: int, *, ramp: bool) -> dict[str, float]:
    trial = Trial(ramp, random.Random(seed))
    admission.set_limits(trial.gate, FULL_LIMIT, COLD_LIMIT)
    admission.set_watched(trial.gate, watched=True)
    for number in range(round(RUN_S * 4 / STEP_S)):
        trial.now_s = number * STEP_S
        _step(trial)
    times = sorted(trial.full_use_s)
    return {
        'requests': trial.requests,
        'engine_restarts': trial.restarts,
        'over_limit': trial.over_limit,
        'most_over': trial.most_over,
        'full_use_median_s': times[len(times) // 2] if times else 0,
    }


def _step(trial: Trial) -> None:
    _finish_due(trial)
    if trial.generator.random() < RESTART_SHARE:
        _restart(trial)
    busy = (trial.now_s // 60) % 3 != 2
    share = ARRIVAL_SHARE if busy else BURST_SHARE
    for _ in range(FULL_LIMIT):
        if trial.generator.random() < share:
            _offer(trial)


def _offer(trial: Trial) -> None:
    if not trial.ramp:
        trial.gate.limit = FULL_LIMIT
    if admission.refusal(trial.gate) is not None:
        return
    trial.requests += 1
    generation = admission.start(trial.gate)
    engine = trial.engine
    service_s = SERVICE_S
    if engine.bearable() < FULL_LIMIT:
        service_s *= COLD_FACTOR
    end_s = trial.now_s + service_s * trial.generator.uniform(0.5, 1.5)
    engine.running.append(Running(generation, trial.now_s, end_s))
    over = len(engine.running) - engine.bearable()
    trial.over_limit += over > 0
    trial.most_over = max(trial.most_over, over)
    if trial.cold_since_s is not None and len(engine.running) == FULL_LIMIT:
        trial.full_use_s.append(trial.now_s - trial.cold_since_s)
        trial.cold_since_s = None


def _finish_due(trial: Trial) -> None:
    engine = trial.engine
    due = [one for one in engine.running if one.end_s <= trial.now_s]
    for one in due:
        engine.running.remove(one)
        engine.answered += 1
        waited_s = (one.end_s - one.started_s) / 4
        admission.record_first_part(trial.gate, one.generation, waited_s)
        admission.finish(
            trial.gate,
            one.generation,
            admission.Outcome.whole,
            trial.now_s,
        )


def _restart(trial: Trial) -> None:
    """Turn the engine cold; its connections break, the watching one too."""
    trial.restarts += 1
    trial.cold_since_s = trial.now_s
    broken = trial.engine.running
    trial.engine = Engine()
    for one in broken:
        admission.finish(
            trial.gate,
            one.generation,
            admission.Outcome.broken,
            trial.now_s,
        )
    admission.set_watched(trial.gate, watched=False)
    admission.set_watched(trial.gate, watched=True)
