"""Share of cached prefix tokens, load imbalance and time of a decision.

Simulated requests go through the production endpoint choice. As with real
engines, cache events reach the entries late and some are lost.
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
ZIPF_EXPONENT = 0.9
EVENT_DELAY_REQUESTS = 200
EVENT_LOSS_PROBABILITY = 0.3
DECISIONS = 3000
DATA_CENTRE_ENTRIES = 46
DATA_CENTRE_AGENTS = 75
DECISION_ENDPOINT_COUNTS = (12, 100, 600)
DECISION_TARGET_US = 50
US_IN_S = 1_000_000

Event = tuple[int, int, str]


@attrs.define
class Caches:
    """Simulated prefix caches of the engines and their undelivered events.

    :ivar generator: Draws which events are lost.
    :ivar rows: Cache of each engine by VM name, least recently used first:
        the number of the last request for each prefix.
    :ivar events: Evictions, each with the number of the request at which it
        is delivered, the prefix and the VM name.
    """

    generator: random.Random
    rows: dict[str, collections.OrderedDict[int, int]]
    events: collections.deque[Event] = attrs.field(factory=collections.deque)

    def serve(self, name: str, prefix: int, number: int) -> bool:
        """Serve a request and return whether its prefix was cached.

        The prefix is added to the cache. If that evicts another prefix, an
        event is queued, unless the event is drawn as lost.

        :param name: Name of the VM.
        :param prefix: Prefix of the request.
        :param number: Sequence number of the request.
        """
        cache = self.rows[name]
        hit = prefix in cache
        cache[prefix] = number
        cache.move_to_end(prefix)
        if len(cache) > CACHED_PREFIXES:
            evicted = cache.popitem(last=False)[0]
            if self.generator.random() >= EVENT_LOSS_PROBABILITY:
                self.events.append(
                    (number + EVENT_DELAY_REQUESTS, evicted, name)
                )
        return hit


def measure(seed: int) -> reports.Report:
    """Measure the choice with prefix affinity.

    The baseline chooses an endpoint at random.

    :param seed: Seed of the random generators.
    """
    figures = _simulate(seed, by_prefix=True)
    baseline = _simulate(seed, by_prefix=False)
    for size in DECISION_ENDPOINT_COUNTS:
        figures[f'decision_us_{size}'] = _decision_us(seed, size)
    figures.update(_subset_balance())
    targets = [
        reports.Target(
            f'decision_us_{endpoint_count}', at_most=DECISION_TARGET_US
        )
        for endpoint_count in DECISION_ENDPOINT_COUNTS
    ]
    return reports.Report('affinity', seed, figures, baseline, targets)


def _subset_balance() -> dict[str, float]:
    """Return how evenly the entries' subsets cover the endpoints.

    The data centre has the size that the project is designed for.
    """
    listed = simulated_fleet.vm_list(DATA_CENTRE_ENTRIES, DATA_CENTRE_AGENTS)
    names = [vm.name for vm in listed if vm.service]
    subset_counts: dict[str, float] = dict.fromkeys(names, 0)
    load: dict[str, float] = dict.fromkeys(names, 0)
    subset_sizes = []
    for entry in simulated_fleet.make_entries(listed):
        near = entry.subset_table.rows[simulated_fleet.SERVICE].near
        subset_sizes.append(len(near))
        for endpoint in near:
            subset_counts[endpoint.vm.name] += 1
            load[endpoint.vm.name] += 1 / len(near)
    mean_load = DATA_CENTRE_ENTRIES / DATA_CENTRE_AGENTS
    return {
        'entries_per_endpoint_least': min(subset_counts.values()),
        'subset_size_largest': max(subset_sizes),
        'subset_load_imbalance': max(load.values()) / mean_load,
    }


def _simulate(seed: int, *, by_prefix: bool) -> dict[str, float]:
    """Simulate the requests; return the share of cached tokens and the balance.

    :param seed: Seed of the simulation.
    :param by_prefix: Whether to use prefix affinity; else choose at random.
    """
    generator = random.Random(seed)
    listed = simulated_fleet.vm_list(ENTRIES, AGENTS)
    entries = simulated_fleet.make_entries(listed)
    names = [vm.name for vm in listed if vm.service]
    caches = Caches(
        generator, {name: collections.OrderedDict() for name in names}
    )
    weights = [1 / rank**ZIPF_EXPONENT for rank in range(1, PREFIXES + 1)]
    prefix_lengths = [generator.randint(200, 4000) for _ in weights]
    served = dict.fromkeys(names, 0)
    running: collections.deque[endpoints.Endpoint] = collections.deque()
    cached_tokens = 0
    tokens = 0
    prefixes = generator.choices(range(PREFIXES), weights, k=REQUESTS)
    for number, prefix in enumerate(prefixes):
        _deliver_events(caches, entries, number)
        entry = generator.choice(entries)
        endpoint = generator.choice(list(entry.table.rows.values()))
        if by_prefix:
            endpoint = _choose(entry, prefix, number, generator)
        _start_request(running, endpoint)
        name = endpoint.vm.name
        served[name] += 1
        tokens += prefix_lengths[prefix]
        if caches.serve(name, prefix, number):
            cached_tokens += prefix_lengths[prefix]
    mean_served = statistics.fmean(served.values())
    return {
        'cached_token_share': cached_tokens / tokens,
        'load_imbalance': max(served.values()) / mean_served,
    }


def _choose(
    entry: simulated_fleet.Entry,
    prefix: int,
    number: int,
    generator: random.Random,
) -> endpoints.Endpoint:
    key = affinity.prefix_key(_request_body(prefix))
    criteria = choice.EndpointCriteria(simulated_fleet.SERVICE, set(), key)
    endpoint = entry.choose(criteria, number, generator)
    if endpoint is None:
        raise ValueError(f'no endpoint available for request {number}')
    affinity.record_cached(entry.hints, key, endpoint.vm.name, number)
    return endpoint


def _start_request(
    running: collections.deque[endpoints.Endpoint],
    endpoint: endpoints.Endpoint,
) -> None:
    """Start a request; end the oldest one if too many are in flight."""
    endpoint.own_in_flight += 1
    endpoint.load = messages.LoadReport(0, simulated_fleet.LIMIT, 0, cold=False)
    running.append(endpoint)
    if len(running) > IN_FLIGHT:
        running.popleft().own_in_flight -= 1


def _deliver_events(
    caches: Caches,
    entries: list[simulated_fleet.Entry],
    number: int,
) -> None:
    """Deliver the due eviction events to all entries."""
    while caches.events and caches.events[0][0] <= number:
        _, prefix, name = caches.events.popleft()
        key = affinity.prefix_key(_request_body(prefix))
        for entry in entries:
            affinity.record_evicted(entry.hints, key, name)


def _request_body(prefix: int) -> bytes:
    turns = [{'role': 'system', 'content': f'Prefix {prefix}.'}]
    return json.dumps({'messages': turns}).encode()


def _decision_us(seed: int, size: int) -> float:
    """Return the median time of a decision in microseconds.

    The time includes computing the key of the prompt's prefix.

    :param seed: Seed of the loads and of the choices.
    :param size: Number of endpoints.
    """
    generator = random.Random(seed)
    entries = max(2, size // 2)
    listed = simulated_fleet.vm_list(entries, size)
    entry = simulated_fleet.make_entry(listed, 'entry-0')
    for endpoint in entry.table.rows.values():
        load = messages.LoadReport(generator.randint(0, 5), 8, 0, cold=False)
        endpoints.record_load(endpoint, load, 0)
    bodies = [_request_body(number % PREFIXES) for number in range(DECISIONS)]
    times_s = []
    for body in bodies:
        start_s = time.perf_counter()
        key = affinity.prefix_key(body)
        criteria = choice.EndpointCriteria(simulated_fleet.SERVICE, set(), key)
        entry.choose(criteria, 1, generator)
        times_s.append(time.perf_counter() - start_s)
    return statistics.median(times_s) * US_IN_S
