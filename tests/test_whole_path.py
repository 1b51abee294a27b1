"""End-to-end requests through real processes, from caller to endpoint."""

import openai
import pytest

from camphorstair_standins import fleet, loopback

ORGANISATION = 'gravier'


@pytest.fixture
def client(small_fleet: fleet.Fleet) -> openai.OpenAI:
    """Return an unmodified OpenAI client that calls the first entry."""
    address = small_fleet.entries[0].callers_address
    return openai.OpenAI(
        api_key=small_fleet.token(ORGANISATION),
        base_url=f'http://{address}/v1',
        max_retries=0,
    )


def test_the_openai_client_streams_a_whole_answer(
    client: openai.OpenAI,
) -> None:
    stream = client.chat.completions.create(
        model='redacteur-8b',
        messages=[{'role': 'user', 'content': 'Draft a note.'}],
        stream=True,
    )
    chunks = list(stream)
    answer_text = ''.join(
        chunk.choices[0].delta.content or '' for chunk in chunks
    )
    assert len(answer_text.split()) == 20
    assert chunks[-1].choices[0].finish_reason == 'stop'


def test_openai_client_receives_non_streaming_response(
    client: openai.OpenAI,
) -> None:
    answer = client.chat.completions.create(
        model='redacteur-8b',
        messages=[{'role': 'user', 'content': 'Draft a note.'}],
    )
    assert len((answer.choices[0].message.content or '').split()) == 20


def test_an_unknown_model_is_a_clear_error(client: openai.OpenAI) -> None:
    with pytest.raises(openai.NotFoundError, match='model "absent"') as refusal:
        client.chat.completions.create(model='absent', messages=[])
    assert refusal.value.response.headers['x-camphorstair-verdict'] == 'not_run'


def test_a_wrong_token_is_refused(small_fleet: fleet.Fleet) -> None:
    address = small_fleet.entries[0].callers_address
    answer = loopback.http_call(
        address,
        '/bookings',
        b'{}',
        {'authorization': 'Bearer gravier.0'},
    )
    assert answer.status == 401
    assert answer.json()['error']['code'] == 'unauthorized'


def test_health_and_metrics_are_readable(small_fleet: fleet.Fleet) -> None:
    address = small_fleet.entries[0].callers_address
    assert loopback.http_call(address, '/healthz').status == 200
    exposition = loopback.http_call(address, '/metrics').body
    assert b'camphorstair_requests_total' in exposition
