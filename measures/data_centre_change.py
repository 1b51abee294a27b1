"""Service quality while one of three data centres is excluded and returns.

The production choice, admission, ramps and retry budget run against simulated
engines in one process. The load is 60% of the capacity of all endpoints. The
rules exclude charny, readmit it when its engines are cold, then exclude and
readmit it once more within seconds.
"""

import functools
import random
import statistics

import attrs

from camphorstair_core import rule_reader, rules
from measures import outage_simulation, reports

SIZE = outage_simulation.Size(entries=6, endpoint_count=12, full_limit=64)
SMALL = outage_simulation.Size(entries=6, endpoint_count=12, full_limit=8)
CAPACITY_SHARE = 0.6
RUNS = 2
STEADY_S = 20.0
EXCLUSION_S = 80.0
RETURN_S = 200.0
SECOND_EXCLUSION_S = 203.0
SECOND_RETURN_S = 206.0
CHANGE_END_S = 270.0
END_S = 330.0
# Two intervals of following: platform to watcher, watcher to follower.
PROPAGATION_S = 1.2
NON_IDEMPOTENT_PART = 0.1
PLACE = 'charny'

_EXCLUSION_RULE = f'out data_centre={PLACE}  # measures\n'


@attrs.define
class Outcome:
    """Outcome of one run.

    :ivar requests: All requests of the run.
    :ivar last_new_work_s: Time from the exclusion to the last request that the
        data centre admitted before its return.
    """

    requests: list[outage_simulation.Request] = attrs.field(factory=list)
    last_new_work_s: float = 0


def measure(seed: int) -> reports.Report:
    """Measure an outage and a return.

    The baseline has neither ramps nor cold starts after the outage.

    :param seed: Number from which the seeds of the runs are derived.
    """
    seeds = range(seed * RUNS, seed * RUNS + RUNS)
    figures = _figures([_run(run_seed) for run_seed in seeds])
    baseline_outcomes = [
        _run(run_seed, gradual_return=False) for run_seed in seeds
    ]
    small_figures = _figures([_run(run_seed, SMALL) for run_seed in seeds])
    figures['small_first_token_p95_ratio'] = small_figures[
        'first_token_p95_ratio'
    ]
    targets = [
        reports.Target('lost', at_most=0),
        reports.Target('cut_off', at_most=0),
        reports.Target('last_new_work_s', at_most=3),
        reports.Target('first_token_p95_ratio', at_most=1.25),
    ]
    return reports.Report(
        'data_centre_change',
        seed,
        figures,
        _figures(baseline_outcomes),
        targets,
    )


def _run(
    seed: int,
    size: outage_simulation.Size = SIZE,
    *,
    gradual_return: bool = True,
) -> Outcome:
    fleet = outage_simulation.build(seed, size, gradual_return=gradual_return)
    outcome = Outcome()
    mean_decode_s = outage_simulation.TOKENS_MEAN * outage_simulation.TOKEN_S
    concurrent_requests = CAPACITY_SHARE * size.endpoint_count * size.full_limit
    _schedule_load(
        fleet,
        outcome,
        concurrent_requests / (mean_decode_s + outage_simulation.PREFILL_S),
    )
    out, _ = rule_reader.parse(_EXCLUSION_RULE)
    back = rules.RuleSet()
    _schedule_change(fleet, out, EXCLUSION_S)
    _schedule_change(fleet, back, RETURN_S)
    _schedule_change(fleet, out, SECOND_EXCLUSION_S)
    _schedule_change(fleet, back, SECOND_RETURN_S)
    fleet.queue.run(RETURN_S)
    outcome.last_new_work_s = _last_new_work_s(fleet) - EXCLUSION_S
    fleet.queue.run(END_S)
    return outcome


def _schedule_load(
    fleet: outage_simulation.Fleet,
    outcome: Outcome,
    arrivals_per_s: float,
) -> None:
    """Schedule arrivals until the end of the changes.

    :param arrivals_per_s: Mean rate of arrivals.
    """
    generator = random.Random(fleet.generator.random())

    def arrive() -> None:
        now_s = fleet.queue.now_s
        idempotent = generator.random() > NON_IDEMPOTENT_PART
        request = outage_simulation.Request(idempotent, now_s)
        outcome.requests.append(request)
        fleet.send(generator.choice(fleet.entries), request)
        if now_s < CHANGE_END_S:
            fleet.queue.after(generator.expovariate(arrivals_per_s), arrive)

    fleet.queue.after(0, arrive)


def _schedule_change(
    fleet: outage_simulation.Fleet,
    rule_set: rules.RuleSet,
    at_s: float,
) -> None:
    """Schedule a rules change, applied at each process with a random delay.

    :param at_s: Time at which the change is accepted.
    """

    def schedule(apply: outage_simulation.Event) -> None:
        fleet.queue.after(
            at_s + fleet.generator.uniform(0, PROPAGATION_S), apply
        )

    for entry in fleet.entries:
        schedule(functools.partial(fleet.apply_at_entry, entry, rule_set))
    for agent in fleet.agents.values():
        schedule(functools.partial(fleet.apply_at_agent, agent, rule_set))


def _last_new_work_s(fleet: outage_simulation.Fleet) -> float:
    """Return when the data centre last admitted a request."""
    return max(
        agent.last_admission_s
        for agent in fleet.agents.values()
        if agent.vm.data_centre == PLACE
    )


def _figures(outcomes: list[Outcome]) -> dict[str, float]:
    requests = [request for outcome in outcomes for request in outcome.requests]
    change_requests = [
        request for request in requests if EXCLUSION_S <= request.sent_s
    ]
    steady_requests = [
        request
        for request in requests
        if STEADY_S <= request.sent_s < EXCLUSION_S
    ]
    out = [request for request in change_requests if request.sent_s < RETURN_S]
    return_requests = [
        request for request in change_requests if request.sent_s >= RETURN_S
    ]
    steady_p95_s = _p95_s(steady_requests)
    return {
        'requests': len(change_requests),
        'lost': sum(not request.ended for request in change_requests),
        'cut_off': sum(request.broken for request in change_requests),
        'refused': sum(request.refusals for request in change_requests),
        'last_new_work_s': max(outcome.last_new_work_s for outcome in outcomes),
        'first_token_p95_steady_s': steady_p95_s,
        'first_token_p95_ratio': _p95_s(change_requests) / steady_p95_s,
        'first_token_p95_out_ratio': _p95_s(out) / steady_p95_s,
        'first_token_p95_back_ratio': _p95_s(return_requests) / steady_p95_s,
    }


def _p95_s(requests: list[outage_simulation.Request]) -> float:
    """Return the 95th percentile of the time to the first token."""
    delays_s = [
        request.first_token_s - request.sent_s
        for request in requests
        if request.first_token_s
    ]
    return statistics.quantiles(delays_s, n=20)[-1]
