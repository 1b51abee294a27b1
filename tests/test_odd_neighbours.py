"""Tests that what another writer or a faulty peer sends harms nobody else."""

import socket
import types
from collections import abc

import attrs
import curio
import fleet_bench
import msgspec
import odd_values
import pytest
from opentelemetry import metrics as metrics_api

from camphorstair_agent.fleet import engine_calls, instruments, listing, state
from camphorstair_agent.fleet import sensing as load_reporting
from camphorstair_core.fleet import content_age, ejection, store_copy
from camphorstair_fleet import internal_messages, mirroring, sources
from camphorstair_platform import boot, headers, store
from camphorstair_platform_standins import documents, scripted
from camphorstair_runtime import http_client, http_messages
from camphorstair_standins import loopback

ODD_REGISTRATIONS: abc.Mapping[str, bytes] = types.MappingProxyType(
    {
        'nested': odd_values.UNREADABLE[5],
        'not UTF-8': b'{"Service": "\xff"}',
        'number': documents.registration('plain', '127.0.0.1:1').replace(
            b'"ColdRemainingMs":0', b'"ColdRemainingMs":1%s' % (b'0' * 400)
        ),
        'port': documents.registration('plain', '127.0.0.1:99999'),
        'superscript port': documents.registration('plain', '127.0.0.1:²'),
        'host': documents.registration('plain', 'a\0b:80'),
        'type': documents.registration('plain', '127.0.0.1:1', State=['ready']),
        'size': documents.registration(
            'plain', '127.0.0.1:1', group={'Name': 'g'}, size=10**18
        ),
    }
)


@pytest.fixture
def bench() -> fleet_bench.FleetBench:
    return fleet_bench.FleetBench()


# Restarted entries had no endpoints of those listed after an unreadable entry,
# and answered every request with 503 (review/3).
@pytest.mark.parametrize('name', ODD_REGISTRATIONS)
def test_an_entry_that_starts_beside_an_odd_registration_serves(
    bench: fleet_bench.FleetBench, name: str
) -> None:
    bench.store.put('servers/cell-1', ODD_REGISTRATIONS[name])

    async def body(running: fleet_bench.FleetBench) -> None:
        await running.add_endpoint('i-1', 'plain')
        late = await running.add_entry('front-2')
        for process in (running.process, late):
            answers = [
                await running.call('/look/', entry=process) for _ in range(3)
            ]
            assert [answer.status for answer in answers] == [200, 200, 200]
            assert set(process.entry.endpoints.endpoints) == {'i-1'}

    bench.run(body)


# A withdrawn key that came in one answer with such an entry stayed in force.
@pytest.mark.parametrize('name', ODD_REGISTRATIONS)
def test_changes_that_come_with_an_odd_registration_are_applied(
    bench: fleet_bench.FleetBench, name: str
) -> None:
    content = ODD_REGISTRATIONS[name]

    async def body(running: fleet_bench.FleetBench) -> None:
        await running.add_endpoint('i-1', 'plain')
        running.store.put('servers/cell-1', content)
        running.configure(2, Tenants=[])
        running.store.put('servers/cell-1', content)
        running.store.remove('servers/i-1')
        known = running.entry.endpoints.endpoints
        await running.wait_until(lambda: 'i-1' not in known)
        assert running.entry.configuration.version == 2
        assert (await running.call('/look/')).status == 401

    bench.run(body)


def test_a_change_after_one_that_fails_unexpectedly_is_applied() -> None:
    applied: list[str] = []

    def apply(row: store_copy.Item) -> None:
        if row.key == 'servers/i-1':
            raise KeyError('unexpected')
        applied.append(row.key)

    rows = tuple(
        store_copy.Item(f'servers/i-{number}', b'{}', number)
        for number in (1, 2, 3)
    )

    async def source(_position: sources.Position) -> sources.Fetched:
        if applied:
            await curio.Event().wait()
        return sources.Fetched(store_copy.Update(1, 3, rows, whole=True), 0)

    async def done() -> None:
        """Do nothing after a round."""

    async def body() -> None:
        mirror = mirroring.Mirror(
            lambda _failed: source,
            content_age.ContentAge(),
            apply,
            done,
            store_copy.StoreCopy(lambda _before, _after: True),
        )
        task = await curio.spawn(mirror.run)
        await curio.sleep(0.01)
        await task.cancel()

    curio.run(body)
    assert applied == ['servers/i-2', 'servers/i-3']


def _agent(store_address: str) -> state.FleetAgent:
    told = boot.decode(fleet_bench.boot_settings(store_address))
    meter = metrics_api.NoOpMeter('test')
    return state.FleetAgent(told, instruments.create(meter))


# Agents lost the entries listed after it, so that these got no load reports.
@pytest.mark.parametrize(
    'key',
    ['servers/cell-1', 'camphorstair/members/a', 'camphorstair/crashes/a'],
)
@pytest.mark.parametrize(
    'content', [*ODD_REGISTRATIONS.values(), *odd_values.UNREADABLE], ids=len
)
def test_an_agent_lists_what_comes_with_an_odd_entry(
    bench: fleet_bench.FleetBench, key: str, content: bytes
) -> None:
    bench.store.put(key, content)
    bench.store.put(
        'servers/i-1', documents.registration('plain', '127.0.0.1:1')
    )

    async def body(running: fleet_bench.FleetBench) -> None:
        agent = _agent(running.told.store.address)
        client = store.StoreClient(running.told.store.address)
        task = await curio.spawn(listing.StoreFollower(agent, client).run)
        await running.wait_until(lambda: 'front-1' in agent.members)
        await running.wait_until(lambda: 'i-1' in agent.endpoints)
        await task.cancel()

    bench.run(body)


# An entry's key with an unusable address ended the agent's load reports to all.
def test_a_member_without_a_usable_address_is_no_member(
    bench: fleet_bench.FleetBench,
) -> None:
    odd = {
        'name': 'a',
        'data_centre': 'levis-nord',
        'address': '127.0.0.1:1',
        'internal_address': '127.0.0.1:many',
    }
    bench.store.put('camphorstair/members/a', msgspec.json.encode(odd))

    async def body(running: fleet_bench.FleetBench) -> None:
        agent = _agent(running.told.store.address)
        client = store.StoreClient(running.told.store.address)
        task = await curio.spawn(listing.StoreFollower(agent, client).run)
        await running.wait_until(lambda: 'front-1' in agent.members)
        present = running.entry.members.present
        await running.wait_until(lambda: 'front-1' in present)
        assert set(agent.members) == set(present) == {'front-1'}
        await task.cancel()

    bench.run(body)


# One datagram that nests too deep ended the task that receives load reports.
@pytest.mark.parametrize('content', odd_values.UNREADABLE, ids=len)
def test_a_load_report_after_an_odd_datagram_counts(
    bench: fleet_bench.FleetBench, content: bytes
) -> None:
    async def body(running: fleet_bench.FleetBench) -> None:
        endpoint = await running.add_endpoint('i-1', 'plain')
        registered = running.entry.endpoints.endpoints[endpoint.name]
        load = running.entry.candidate(registered).load
        sock = curio.socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        report = internal_messages.EngineLoad(
            registered.registration.address, 3, 0, 1.0, True
        )
        address = (running.told.address, running.told.internal_port)
        async with sock:
            await sock.sendto(content, address)
            await curio.sleep(0.05)
            await sock.sendto(internal_messages.encode(report), address)
        await running.wait_until(lambda: load.reported == 3)

    bench.run(body)


# A deadline such as '²' closed the caller's connection without an answer.
@pytest.mark.parametrize('text', ['²', '9' * 5000, '-1', '1.5'])
def test_a_caller_with_an_odd_deadline_is_answered(
    bench: fleet_bench.FleetBench, text: str
) -> None:
    async def body(running: fleet_bench.FleetBench) -> None:
        await running.add_endpoint('i-1', 'plain')
        exchange = await http_client.connect(running.told.callers_address)
        head = (
            f'GET /look/ HTTP/1.1\r\nhost: {fleet_bench.HOST}\r\n'
            f'x-camphorstair-attempt-id: a1\r\nauthorization: Token k1\r\n'
            f'x-camphorstair-deadline-ms: {text}\r\n\r\n'
        )
        await exchange.sock.sendall(head.encode('latin-1'))
        answer = await curio.timeout_after(5, exchange.sock.recv, 65536)
        assert answer.startswith(b'HTTP/1.1 200')
        await exchange.close()

    bench.run(body)


# A load header such as '²,0,8' ended each request there with a 500.
@pytest.mark.parametrize(
    'says',
    [
        ('x-camphorstair-server-load', f'{"9" * 5000},0,8'),
        ('x-camphorstair-server-load', '-1,-1,-1'),
        ('keep-alive', f'timeout={"9" * 5000}'),
        ('server-limit', '9' * 5000),
    ],
)
def test_an_answer_with_odd_numbers_in_its_headers_is_passed_on(
    bench: fleet_bench.FleetBench, says: tuple[str, str]
) -> None:
    async def body(running: fleet_bench.FleetBench) -> None:
        await running.add_endpoint(
            'i-1', 'plain', scripted.Script(says=(says,))
        )
        assert (await running.call('/look/')).status == 200

    bench.run(body)


# An engine's report that nests too deep ended the agent's load reports.
@pytest.mark.parametrize('content', odd_values.UNREADABLE, ids=len)
def test_an_odd_report_of_the_engine_is_no_report(
    bench: fleet_bench.FleetBench, content: bytes
) -> None:
    async def body(running: fleet_bench.FleetBench) -> None:
        address = loopback.free_address()

        async def engine(
            _request: http_messages.Request, responder: object
        ) -> None:
            await responder.respond(  # type: ignore[attr-defined]
                http_messages.Response(200, [], content)
            )

        await running.listen(address, engine)
        agent = _agent(running.told.store.address)
        agent.settings = attrs.evolve(agent.settings, engine_address=address)
        reporter = load_reporting.LoadReporter(
            agent, engine_calls.EngineCalls(address)
        )
        await reporter._read_report()
        assert agent.report is None

    bench.run(body)


# Any error that an attempt did not expect was answered 500, and the endpoint
# was asked again by the next request.
@pytest.mark.parametrize(
    ('path', 'failed'),
    [('/look/', 0), ('/book/', ejection.FAILURES_TO_EJECT)],
)
def test_an_unexpected_error_on_an_attempt_counts_against_its_endpoint(
    bench: fleet_bench.FleetBench,
    path: str,
    failed: int,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    decode_answer = headers.decode_answer

    def fail(
        answer_status: int, pairs: http_messages.HeaderList
    ) -> headers.AnswerHeaders:
        if http_messages.header(pairs, 'x-odd'):
            raise KeyError('unexpected')
        return decode_answer(answer_status, pairs)

    monkeypatch.setattr(headers, 'decode_answer', fail)
    odd = scripted.Script(says=(('x-odd', '1'),))

    async def body(running: fleet_bench.FleetBench) -> None:
        await running.add_endpoint('i-odd', 'plain', odd)
        await running.add_endpoint('i-2', 'plain')
        statuses = [(await running.call(path)).status for _ in range(20)]
        assert set(statuses) <= {200, 502}
        assert statuses.count(502) <= failed

    bench.run(body)
