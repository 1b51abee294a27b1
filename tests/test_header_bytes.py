"""Tests of headers and statuses that HTTP allows and Python's names do not."""

import curio
import fleet_bench
import pytest
import raw_endpoints

from camphorstair_platform_standins import documents, exchange_headers
from camphorstair_runtime import http_client, http_messages

NAME = 'reçu_Θ.txt'
DISPOSITION = f'inline; filename="{NAME}"'


@pytest.fixture
def bench() -> fleet_bench.FleetBench:
    return fleet_bench.FleetBench()


# Such an answer was run, then lost: the caller's connection was closed, and the
# next request met the same endpoint (review/4).
@pytest.mark.parametrize('path', ['/look/', '/book/'])
@pytest.mark.parametrize('encoding', ['utf-8', 'utf-16-le'])
def test_an_answer_with_header_bytes_beyond_ascii_is_passed_on(
    bench: fleet_bench.FleetBench, path: str, encoding: str
) -> None:
    value = DISPOSITION.encode(encoding).replace(b'\0', b'')
    head = raw_endpoints.sealed('a1', b'whole').replace(
        b'content-length', b'content-disposition: %s\r\ncontent-length' % value
    )

    async def body(running: fleet_bench.FleetBench) -> None:
        await raw_endpoints.add(running, 'i-1', 'plain', head, head)
        for _ in range(2):
            answer = await running.call(path)
            assert (answer.status, answer.body) == (200, b'whole')
            received = http_messages.header(
                answer.headers, 'content-disposition'
            )
            assert received.encode('latin-1') == value

    bench.run(body)


def test_a_stream_with_header_bytes_beyond_ascii_is_passed_on(
    bench: fleet_bench.FleetBench,
) -> None:
    event = b'id: 1\ndata: y\n\n'
    content = raw_endpoints.sealed('a1', event).replace(
        b'content-length', b'x-note: %s\r\ncontent-length' % NAME.encode()
    )

    async def body(running: fleet_bench.FleetBench) -> None:
        await raw_endpoints.add(running, 'i-1', 'engine', content)
        assert (await running.call('/draft/')).body == event

    bench.run(body)


@pytest.mark.parametrize('status', [529, 299, 599, 418])
def test_an_answer_with_a_status_without_a_name_is_passed_on(
    bench: fleet_bench.FleetBench, status: int
) -> None:
    content = raw_endpoints.answer(
        status, *exchange_headers.sealed('a1'), body=b'whole'
    )

    async def body(running: fleet_bench.FleetBench) -> None:
        await raw_endpoints.add(running, 'i-1', 'plain', content)
        answer = await running.call('/book/')
        assert (answer.status, answer.body) == (status, b'whole')

    bench.run(body)


# A caller's request with such a header was answered 500, "may have run".
def test_a_request_with_header_bytes_beyond_ascii_reaches_the_endpoint(
    bench: fleet_bench.FleetBench,
) -> None:
    async def body(running: fleet_bench.FleetBench) -> None:
        endpoint = await raw_endpoints.add(
            running, 'i-1', 'plain', raw_endpoints.sealed('a1')
        )
        lines = [
            *exchange_headers.request('a1', fleet_bench.KEY, 4),
            ('host', fleet_bench.HOST),
            ('x-note', NAME),
        ]
        head = ''.join(f'{name}: {text}\r\n' for name, text in lines)
        exchange = await http_client.connect(running.told.callers_address)
        await exchange.sock.sendall(
            f'GET /look/ HTTP/1.1\r\n{head}\r\n'.encode()
        )
        answer = await curio.timeout_after(5, exchange.sock.recv, 65536)
        await exchange.close()
        assert answer.startswith(b'HTTP/1.1 200')
        assert f'x-note: {NAME}\r\n'.encode() in endpoint.requests[0][0]

    bench.run(body)


# Each request of an organisation whose name is beyond ASCII was answered 500,
# each with such a key 401.
def test_organisations_and_keys_may_have_any_letters(
    bench: fleet_bench.FleetBench,
) -> None:
    name, key = 'Θεσσαλία', 'clé-Θ'

    async def body(running: fleet_bench.FleetBench) -> None:
        endpoint = await raw_endpoints.add(
            running, 'i-1', 'plain', raw_endpoints.sealed('a1')
        )
        running.configure(2, Tenants=[documents.organisation(name, key)])
        await running.wait_until(
            lambda: running.entry.configuration.version == 2
        )
        sent = http_messages.header_text(key)
        assert (await running.call('/look/', key=sent)).status == 200
        assert f'tenant: {name}\r\n'.encode() in endpoint.requests[0][0]

    bench.run(body)


def test_a_request_that_can_not_be_encoded_was_not_sent() -> None:
    async def body(running: fleet_bench.FleetBench) -> None:
        exchange = await http_client.connect(running.told.callers_address)
        request = http_messages.Request('GET', '/', [('x-note', 'Θ')], b'')
        with pytest.raises(http_client.HttpError) as caught:
            await http_client.send(exchange, 'h', request)
        assert not caught.value.sent
        await exchange.close()

    fleet_bench.FleetBench().run(body)


def test_a_request_that_can_not_be_encoded_is_no_failure_of_an_endpoint(
    bench: fleet_bench.FleetBench,
) -> None:
    async def body(running: fleet_bench.FleetBench) -> None:
        endpoint = await running.add_endpoint('i-1', 'plain')
        running.configure(
            2,
            Tenants=[
                documents.organisation('a\nb', 'odd'),
                documents.organisation('gravier', fleet_bench.KEY),
            ],
        )
        await running.wait_until(
            lambda: running.entry.configuration.version == 2
        )
        for _ in range(3):
            assert (await running.call('/book/', key='odd')).status == 503
        candidate = running.entry.candidates['i-1']
        assert not candidate.health.failures
        assert not endpoint.arrivals
        assert (await running.call('/book/')).status == 200

    bench.run(body)


def test_an_endpoint_may_have_any_letters_but_no_control_characters(
    bench: fleet_bench.FleetBench,
) -> None:
    async def body(running: fleet_bench.FleetBench) -> None:
        endpoint = await raw_endpoints.add(
            running, 'i-Θ', 'plain', raw_endpoints.sealed('a1')
        )
        running.register('i-\n', 'plain', '127.0.0.1:1')
        assert (await running.call('/book/')).status == 200
        assert 'expect-instance: i-Θ\r\n'.encode() in endpoint.requests[0][0]
        assert set(running.entry.endpoints.endpoints) == {'i-Θ'}

    bench.run(body)
