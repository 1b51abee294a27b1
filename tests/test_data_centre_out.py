"""Take a data centre out and bring it back while callers send requests."""

import json
import pathlib
import random
import threading
import time
from collections import abc

import attrs
import pytest

from camphorstair_core import (
    affinity,
    choice,
    endpoints,
    outage_recovery,
    rule_reader,
    subsets,
    vms,
)
from camphorstair_standins import fleet, loopback, sites

TIMEOUT_S = 20.0
OUT_RULE = 'out data_centre=levis-sud  # test: maintenance\n'
SITE = sites.Site(
    region='qc-est',
    data_centres=('levis-nord', 'levis-sud'),
    entries=1,
    endpoints={'redacteur': 1, 'comptoir': 1},
    rules=sites.LEVIS_RULES,
)
DRAFT = json.dumps(
    {'model': 'redacteur-8b', 'stream': True, 'messages': []},
).encode()
REQUEST_INTERVAL_S = 0.02


@attrs.define
class CallerLoad:
    """Concurrent callers that send one request after another.

    :ivar running: The fleet that they call.
    :ivar stopped: Set to stop the callers.
    :ivar whole: Number of complete responses.
    :ivar failures: Representations of all other responses and errors.
    """

    running: fleet.Fleet
    stopped: threading.Event = attrs.field(factory=threading.Event)
    whole: int = 0
    failures: list[str] = attrs.field(factory=list)

    def send_until_stopped(self, entry: vms.Vm) -> None:
        """Send requests to an entry until the callers are stopped."""
        token = self.running.token('gravier')
        headers = {'authorization': f'Bearer {token}'}
        while not self.stopped.is_set():
            self.send_draft(entry, headers)
            time.sleep(REQUEST_INTERVAL_S)

    def send_draft(self, entry: vms.Vm, headers: dict[str, str]) -> None:
        """Send one streamed request and record whether it was complete."""
        address = entry.callers_address
        path = '/v1/chat/completions'
        try:
            body = loopback.http_call(address, path, DRAFT, headers).body
        except OSError as error:
            body = repr(error).encode()
        if body.endswith(b'data: [DONE]\n\n'):
            self.whole += 1
        else:
            self.failures.append(repr(body))

    def wait_for_responses(self, count: int) -> None:
        """Wait until a number of further responses have been complete."""
        goal = self.whole + count
        loopback.wait_for(lambda: self.whole >= goal, TIMEOUT_S)


@pytest.fixture
def load(tmp_path: pathlib.Path) -> abc.Iterator[CallerLoad]:
    """Start a fleet, yield its callers, one at each entry, and stop both."""
    running = fleet.Fleet(tmp_path, SITE)
    caller_load = CallerLoad(running)
    try:
        running.start()
        yield from run_callers(caller_load)
    finally:
        running.processes.stop()


def run_callers(caller_load: CallerLoad) -> abc.Iterator[CallerLoad]:
    """Run one caller at each entry for the duration of the test."""
    threads = [
        threading.Thread(target=caller_load.send_until_stopped, args=(entry,))
        for entry in caller_load.running.entries
    ]
    for thread in threads:
        thread.start()
    try:
        yield caller_load
    finally:
        caller_load.stopped.set()
    for thread in threads:
        thread.join()


def count_started(running: fleet.Fleet) -> int:
    """Return how many requests have reached the engine of levis-sud.

    Counts those in flight, answered and cancelled.
    """
    address = running.endpoint_addresses['levis-sud-redacteur-1']
    stats = loopback.http_call(address, '/stats').json()
    return int(stats['in_flight'] + stats['answered'] + stats['cancelled'])


def count_cancelled(running: fleet.Fleet) -> int:
    """Return how many requests at the engine of levis-sud were cancelled."""
    address = running.endpoint_addresses['levis-sud-redacteur-1']
    stats = loopback.http_call(address, '/stats').json()
    return int(stats['cancelled'])


def test_no_request_fails_while_data_centre_is_out_and_back(
    load: CallerLoad,
) -> None:
    """No request fails while a data centre is taken out and brought back.

    While it is out, its engine gets no new requests, those in flight are not
    cancelled, and its entry is not listed as an address for callers.
    """
    running = load.running
    load.wait_for_responses(20)
    assert count_started(running)
    before = running.rules_path.read_text(encoding='utf-8')
    running.rules_path.write_text(before + OUT_RULE, encoding='utf-8')
    running.apply()
    started_at_apply = count_started(running)
    load.wait_for_responses(30)
    assert count_started(running) == started_at_apply
    assert count_cancelled(running) == 0
    entry_lists = [
        loopback.http_call(entry.callers_address, '/v1/entries').json()
        for entry in running.entries
    ]
    remaining_address = running.entries[0].callers_address
    assert [answer['addresses'] for answer in entry_lists] == [
        [remaining_address],
        [remaining_address],
    ]
    running.rules_path.write_text(before, encoding='utf-8')
    running.apply()
    loopback.wait_for(
        lambda: count_started(running) > started_at_apply, TIMEOUT_S
    )
    load.wait_for_responses(10)
    assert load.failures == []


def test_the_share_of_a_returning_data_centre_rises() -> None:
    table = endpoints.EndpointTable()
    listed = [agent(data_centre) for data_centre in ('levis-nord', 'levis-sud')]
    endpoints.update_vms(table, listed)
    out, _ = rule_reader.parse(OUT_RULE)
    back, _ = rule_reader.parse('')
    endpoints.apply_rules(table, out, 0)
    assert not levis_sud_share(table, 1)
    endpoints.apply_rules(table, back, 100)
    shares = [
        levis_sud_share(table, 100 + step * outage_recovery.RAMP_S / 4)
        for step in range(5)
    ]
    assert sorted(shares) == shares
    # With both data centres fully in service, each gets half of the requests.
    # During the ramp, levis-sud gets only a share of its half, and that share
    # rises from 0.1 to 1.
    expected = (0.05, 0.1625, 0.275, 0.3875, 0.5)
    assert shares == pytest.approx(expected, abs=0.03)


def test_repeated_outage_restarts_data_centre_ramp() -> None:
    outages = outage_recovery.DataCentreOutages()
    out = frozenset(('charny',))
    for time_s in (0, 30):
        outage_recovery.update_outages(outages, out, time_s)
        assert not outages.ramp_deadlines_s
        outage_recovery.update_outages(outages, frozenset(), time_s + 10)
    assert outages.ramp_deadlines_s == {'charny': 40 + outage_recovery.RAMP_S}
    outage_recovery.update_outages(outages, frozenset(), 50)
    assert outages.ramp_deadlines_s == {'charny': 40 + outage_recovery.RAMP_S}


def test_an_endpoint_is_cold_after_a_long_outage_only() -> None:
    """An endpoint that was out for at least WARM_S is cold when it is back.

    It is out while the rules take it out of service and back when they no
    longer do. While an endpoint is cold and not yet warm, ``cold_in_flight``
    limits its requests in flight.
    """
    outage = outage_recovery.Outage()
    long_s = outage_recovery.WARM_S
    steps = (
        (True, 0, False),
        (False, long_s - 1, False),
        (True, 100, False),
        (True, 101, False),
        (False, 100 + long_s, True),
        (False, 300, False),
    )
    for out, time_s, cold in steps:
        assert (
            outage_recovery.update_outage(outage, out=out, now_s=time_s) is cold
        )


def agent(data_centre: str) -> vms.Vm:
    """Return a live agent in a data centre."""
    return vms.Vm(
        name=f'{data_centre}-agent',
        role=vms.VmRole.agent,
        state=vms.VmState.live,
        region='qc-est',
        data_centre=data_centre,
        peers_address='',
        service='redacteur',
    )


def levis_sud_share(table: endpoints.EndpointTable, now_s: float) -> float:
    """Return the fraction of 1000 requests that goes to levis-sud.

    :param now_s: Time at which the requests are distributed.
    """
    generator = random.Random(1)
    subset_table = subsets.SubsetTable('entry', 'charny')
    listed = [row.vm for row in table.rows.values()]
    subsets.update(subset_table, table, listed)
    chosen = [
        choice.choose(
            subset_table,
            affinity.CacheHints(),
            choice.EndpointCriteria('redacteur'),
            now_s,
            generator,
        )
        for _ in range(1000)
    ]
    data_centres = [row.vm.data_centre for row in chosen if row is not None]
    return data_centres.count('levis-sud') / len(chosen)
