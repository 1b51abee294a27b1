"""Service while one of three data centres goes out and comes back.

Real core code (choice, admission, ramps, retry budget) over fakes in one
process. Load is 60% of what all endpoints bear. charny is taken out, brought
back when its engines are cold, and once more out and back within seconds.
"""

import functools
import random
import statistics

import attrs

from camphorstair_core import rule_reader, rules
from measures import change_fakes, reports

SIZE = change_fakes.Size(entries=6, runners=12, full_limit=64)
SMALL = change_fakes.Size(entries=6, runners=12, full_limit=8)
LOAD = 0.6
RUNS = 2
STEADY_S = 20.0
OUT_S = 80.0
BACK_S = 200.0
SECOND_OUT_S = 203.0
SECOND_BACK_S = 206.0
CHANGE_END_S = 270.0
SETTLED_S = 330.0
# Two steps of the follower: platform to watcher, watcher to follower.
SPREAD_S = 1.2
NON_IDEMPOTENT_PART = 0.1
PLACE = 'charny'

_OUT = f'out data_centre={PLACE}  # measures\n'


@attrs.define
class Outcome:
    """What one run gave."""

    requests: list[change_fakes.Request] = attrs.field(factory=list)
    last_new_work_s: float = 0


def measure(seed: int) -> reports.Report:
    """Measure an outage and a return, with and without care.

    :param seed: Seed of the runs.
    """
    seeds = range(seed * RUNS, seed * RUNS + RUNS)
    figures = _figures([_run(one) for one in seeds])
    naive = [_run(one, careful=False) for one in seeds]
    small = _figures([_run(one, SMALL) for one in seeds])
    figures['small_first_token_p95_ratio'] = small['first_token_p95_ratio']
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
        _figures(naive),
        targets,
    )


def _run(
    seed: int,
    size: change_fakes.Size = SIZE,
    *,
    careful: bool = True,
) -> Outcome:
    fleet = change_fakes.build(seed, size, careful=careful)
    outcome = Outcome()
    mean_s = change_fakes.TOKENS_MEAN * change_fakes.TOKEN_S
    rate = LOAD * size.runners * size.full_limit
    _plan_load(fleet, outcome, rate / (mean_s + change_fakes.PREFILL_S))
    out, _ = rule_reader.parse(_OUT)
    back = rules.RuleSet()
    _plan_change(fleet, out, OUT_S)
    _plan_change(fleet, back, BACK_S)
    _plan_change(fleet, out, SECOND_OUT_S)
    _plan_change(fleet, back, SECOND_BACK_S)
    fleet.queue.run(BACK_S)
    outcome.last_new_work_s = _last_new_work_s(fleet) - OUT_S
    fleet.queue.run(SETTLED_S)
    return outcome


def _plan_load(
    fleet: change_fakes.Fleet,
    outcome: Outcome,
    rate: float,
) -> None:
    generator = random.Random(fleet.generator.random())

    def arrive() -> None:
        now_s = fleet.queue.now_s
        idempotent = generator.random() > NON_IDEMPOTENT_PART
        request = change_fakes.Request(idempotent, now_s)
        outcome.requests.append(request)
        fleet.send(generator.choice(fleet.entries), request)
        if now_s < CHANGE_END_S:
            fleet.queue.after(generator.expovariate(rate), arrive)

    fleet.queue.after(0, arrive)


def _plan_change(
    fleet: change_fakes.Fleet,
    rule_set: rules.RuleSet,
    at_s: float,
) -> None:
    def plan(apply: change_fakes.Event) -> None:
        fleet.queue.after(at_s + fleet.generator.uniform(0, SPREAD_S), apply)

    for entry in fleet.entries:
        plan(functools.partial(fleet.apply_at_entry, entry, rule_set))
    for agent in fleet.agents.values():
        plan(functools.partial(fleet.apply_at_agent, agent, rule_set))


def _last_new_work_s(fleet: change_fakes.Fleet) -> float:
    return max(
        agent.last_new_s
        for agent in fleet.agents.values()
        if agent.vm.data_centre == PLACE
    )


def _figures(outcomes: list[Outcome]) -> dict[str, float]:
    requests = [one for outcome in outcomes for one in outcome.requests]
    changed = [one for one in requests if OUT_S <= one.born_s]
    steady = [one for one in requests if STEADY_S <= one.born_s < OUT_S]
    out = [one for one in changed if one.born_s < BACK_S]
    returned = [one for one in changed if one.born_s >= BACK_S]
    steady_s = _p95_s(steady)
    return {
        'requests': len(changed),
        'lost': sum(not one.ended for one in changed),
        'cut_off': sum(one.broken for one in changed),
        'refused': sum(one.refusals for one in changed),
        'last_new_work_s': max(one.last_new_work_s for one in outcomes),
        'first_token_p95_steady_s': steady_s,
        'first_token_p95_ratio': _p95_s(changed) / steady_s,
        'first_token_p95_out_ratio': _p95_s(out) / steady_s,
        'first_token_p95_back_ratio': _p95_s(returned) / steady_s,
    }


def _p95_s(requests: list[change_fakes.Request]) -> float:
    delays_s = [
        one.first_token_s - one.born_s for one in requests if one.first_token_s
    ]
    return statistics.quantiles(delays_s, n=20)[-1]
