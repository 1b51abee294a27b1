"""Prefix tokens found cached, load imbalance, and time of a decision.

Simulated requests over the real choice. Events about caches come late and some
are lost, as the engines' do.
"""

import collections
import json
import random
import statistics
import time

import attrs

from camphorstair_core import affinity, choice, endpoints, messages
from measures import reports, simulated_fleet

ENTRIES = 4
AGENTS = 12
PREFIXES = 300
CACHED_PREFIXES = 40
REQUESTS = 20_000
IN_FLIGHT = 60
EXPONENT = 0.9
EVENT_DELAY = 200
EVENT_LOSS = 0.3
DECISIONS = 3000
PLACE_ENTRIES = 46
PLACE_AGENTS = 75
SIZES = (12, 100, 600)
DECISION_TARGET_US = 50
US_IN_S = 1_000_000

Event = tuple[int, int, str]


@attrs.define
class Caches:
    """Prefix caches of the engines, and the events that are on their way."""

    generator: random.Random
    rows: dict[str, collections.OrderedDict[int, int]]
    events: collections.deque[Event] = attrs.field(factory=collections.deque)

    def serve(self, name: str, prefix: int, number: int) -> bool:
        """Run a request and tell whether its prefix was cached."""
        cache = self.rows[name]
        found = prefix in cache
        cache[prefix] = number
        cache.move_to_end(prefix)
        if len(cache) > CACHED_PREFIXES:
            evicted = cache.popitem(last=False)[0]
            if self.generator.random() >= EVENT_LOSS:
                self.events.append((number + EVENT_DELAY, evicted, name))
        return found


def measure(seed: int) -> reports.Report:
    """Measure the choice with prefix affinity against a random choice."""
    figures = _figures(seed, by_prefix=True)
    baseline = _figures(seed, by_prefix=False)
    for size in SIZES:
        figures[f'decision_us_{size}'] = _decision_us(seed, size)
    figures.update(_spread())
    targets = [
        reports.Target(f'decision_us_{one}', at_most=DECISION_TARGET_US)
        for one in SIZES
    ]
    return reports.Report('affinity', seed, figures, baseline, targets)


def _spread() -> dict[str, float]:
    """Return how evenly the subsets spread over a target's data centre."""
    listed = simulated_fleet.vm_list(PLACE_ENTRIES, PLACE_AGENTS)
    names = [vm.name for vm in listed if vm.service]
    chosen: dict[str, float] = dict.fromkeys(names, 0)
    load: dict[str, float] = dict.fromkeys(names, 0)
    sizes = []
    for entry in simulated_fleet.make_entries(listed):
        near = entry.subset_table.rows[simulated_fleet.SERVICE].near
        sizes.append(len(near))
        for row in near:
            chosen[row.vm.name] += 1
            load[row.vm.name] += 1 / len(near)
    mean = PLACE_ENTRIES / PLACE_AGENTS
    return {
        'entries_per_endpoint_least': min(chosen.values()),
        'subset_size_largest': max(sizes),
        'subset_load_imbalance': max(load.values()) / mean,
    }


def _figures(seed: int, *, by_prefix: bool) -> dict[str, float]:
    generator = random.Random(seed)
    listed = simulated_fleet.vm_list(ENTRIES, AGENTS)
    entries = simulated_fleet.make_entries(listed)
    names = [vm.name for vm in listed if vm.service]
    caches = Caches(
        generator, {name: collections.OrderedDict() for name in names}
    )
    weights = [1 / rank**EXPONENT for rank in range(1, PREFIXES + 1)]
    lengths = [generator.randint(200, 4000) for _ in weights]
    served = dict.fromkeys(names, 0)
    running: collections.deque[endpoints.Endpoint] = collections.deque()
    found_tokens = 0
    tokens = 0
    prefixes = generator.choices(range(PREFIXES), weights, k=REQUESTS)
    for number, prefix in enumerate(prefixes):
        _deliver(caches, entries, number)
        entry = generator.choice(entries)
        row = generator.choice(list(entry.table.rows.values()))
        if by_prefix:
            row = _choose(entry, prefix, number, generator)
        _run(running, row)
        name = row.vm.name
        served[name] += 1
        tokens += lengths[prefix]
        if caches.serve(name, prefix, number):
            found_tokens += lengths[prefix]
    mean = statistics.fmean(served.values())
    return {
        'cached_token_share': found_tokens / tokens,
        'load_imbalance': max(served.values()) / mean,
    }


def _choose(
    entry: simulated_fleet.Entry,
    prefix: int,
    number: int,
    generator: random.Random,
) -> endpoints.Endpoint:
    key = affinity.prefix_key(_body(prefix))
    criteria = choice.EndpointCriteria(simulated_fleet.SERVICE, set(), key)
    row = entry.choose(criteria, number, generator)
    if row is None:
        raise ValueError(f'no endpoint for request {number}')
    affinity.record_cached(entry.hints, key, row.vm.name, number)
    return row


def _run(
    running: collections.deque[endpoints.Endpoint],
    row: endpoints.Endpoint,
) -> None:
    row.own_in_flight += 1
    row.load = messages.LoadReport(0, simulated_fleet.LIMIT, 0, cold=False)
    running.append(row)
    if len(running) > IN_FLIGHT:
        running.popleft().own_in_flight -= 1


def _deliver(
    caches: Caches,
    entries: list[simulated_fleet.Entry],
    number: int,
) -> None:
    while caches.events and caches.events[0][0] <= number:
        _, prefix, name = caches.events.popleft()
        key = affinity.prefix_key(_body(prefix))
        for entry in entries:
            affinity.record_evicted(entry.hints, key, name)


def _body(prefix: int) -> bytes:
    turns = [{'role': 'system', 'content': f'Prefix {prefix}.'}]
    return json.dumps({'messages': turns}).encode()


def _decision_us(seed: int, size: int) -> float:
    """Return the time of a decision, the prompt's prefix included."""
    generator = random.Random(seed)
    entries = max(2, size // 2)
    listed = simulated_fleet.vm_list(entries, size)
    entry = simulated_fleet.make_entry(listed, 'entry-0')
    for row in entry.table.rows.values():
        load = messages.LoadReport(generator.randint(0, 5), 8, 0, cold=False)
        endpoints.record_load(row, load, 0)
    bodies = [_body(number % PREFIXES) for number in range(DECISIONS)]
    times_s = []
    for body in bodies:
        start_s = time.perf_counter()
        key = affinity.prefix_key(body)
        criteria = choice.EndpointCriteria(simulated_fleet.SERVICE, set(), key)
        entry.choose(criteria, 1, generator)
        times_s.append(time.perf_counter() - start_s)
    return statistics.median(times_s) * US_IN_S
