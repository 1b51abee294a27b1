"""Tests of decoding the platform's formats and rejecting invalid values."""

import pathlib
import re

import fleet_bench
import pytest

from camphorstair_core import decoding
from camphorstair_core.experts import group_orders
from camphorstair_platform import (
    boot,
    configuration,
    engines,
    headers,
    registrations,
)
from camphorstair_runtime import http_messages

ROOT = pathlib.Path(__file__).parents[1]
WIRE_NAMES = re.compile(
    'NodeName|RouteKind|MaxAttempts|ColdRemainingMs|PutItems|ExpertCounts'
    '|kv-(key|range|watch|txn)|x-camphorstair-(server|expect|tenant|not-run)',
)
GOOD = (
    b'{"Service": "s", "Address": "10.0.0.1:1", "Zone": "z", "Slots": 4,'
    b'"State": "ready"}'
)


def test_wire_names_occur_only_in_platform_folder() -> None:
    source_paths = [
        path
        for folder in ('packages', 'soak', 'measures', 'specs', 'tools')
        for path in (ROOT / folder).rglob('*.py')
    ]
    assert source_paths
    matching_paths = [
        path for path in source_paths if WIRE_NAMES.search(path.read_text())
    ]
    assert not matching_paths


def test_settings_are_decoded() -> None:
    told = boot.decode(fleet_bench.boot_settings('10.0.0.1:1'))
    assert told.name == 'front-1'
    assert told.store.address == '10.0.0.1:1'
    assert round(told.bounds.revoke_s) == 5


@pytest.mark.parametrize(
    'content', [b'', b'[]', b'{}', b'\xff', b'{"NodeName": 3}']
)
def test_unusable_settings_are_refused(content: bytes) -> None:
    with pytest.raises(decoding.FormatError):
        boot.decode(content)


@pytest.mark.parametrize(
    'content',
    [
        b'',
        b'{"Version": 1.5}',
        b'{"Version": 1, "Routes": 3}',
        b'{"Version": 1, "Routes": [{"Name": "a"}]}',
        b'{"Version": true}',
    ],
)
def test_unusable_configurations_are_refused(content: bytes) -> None:
    with pytest.raises(decoding.FormatError):
        configuration.decode(content)


@pytest.mark.parametrize(
    'content',
    [
        b'\x00',
        b'{}',
        GOOD.replace(b'4', b'"4"'),
        GOOD.replace(b'1:1', b'nowhere'),
        GOOD.replace(b'ready', b'gone'),
    ],
)
def test_invalid_registration_is_rejected(content: bytes) -> None:
    with pytest.raises(decoding.FormatError):
        registrations.decode('i-1', content)


def test_a_rank_is_decoded_from_its_registration() -> None:
    decoded = registrations.decode(
        'i-1',
        b'{"Service": "s", "Address": "10.0.0.1:1", "Zone": "z", "Slots": 4,'
        b'"State": "ready", "born": 7, "size": 12, "group":'
        b'{"Name": "g", "epoch": 2, "rank": 3, "State": "broken"}}',
    )
    assert decoded.membership
    assert not decoded.membership.is_open
    assert (decoded.membership.rank, decoded.membership.size) == (3, 12)
    assert decoded.born_ms == 7


def test_the_report_of_an_armed_and_held_rank_is_decoded() -> None:
    report = engines.decode_report(
        b'{"Running": 4, "Waiting": 1, "KvUsed": 9, "pace": 1.5, "step": 53,'
        b'"Map": 10, "Prepared": 11, "Armed": {"Version": 11, "step": 60},'
        b'"held": 60, "group": {"Name": "g", "epoch": 2, "State": "open"}}',
    )
    assert report.is_open
    assert report.rank == group_orders.RankReport(2, 53, 10, 11, 11, 60, 60)


def test_counts_are_split_by_set() -> None:
    decoded = engines.decode_counts(b'{"ExpertCounts": [1, 2, 3, 4]}', 2)
    assert decoded.counts == ((1, 2), (3, 4))


def test_unreadable_caller_headers_are_ignored() -> None:
    request = http_messages.Request(
        'POST',
        '/',
        [
            ('x-camphorstair-token-usage', 'many,80'),
            ('x-camphorstair-deadline-ms', 'soon'),
            ('authorization', 'Basic abc'),
        ],
        b'',
    )
    decoded = headers.decode_caller(request)
    assert decoded.limit_s is None
    assert (decoded.prompt_tokens, decoded.answer_tokens) == (0, 80)
    assert not decoded.key


@pytest.mark.parametrize(
    ('prefix', 'parts'),
    [
        ('', ()),
        ('5c1e07a2:800', ()),
        ('5C1E07A2:800,91bd3f06:410,e4402b7d:250', ('5c1e07a2', '91bd3f06')),
        ('a1,:7,b 2:1,c3:x,last:9', ('a1', 'c3')),
        (','.join(f'p{number}' for number in range(5000)), None),
        (f'{"f" * 5000}:1,last:1', ()),
    ],
)
def test_the_shared_parts_of_a_prompt_are_decoded(
    prefix: str, parts: tuple[str, ...] | None
) -> None:
    request = http_messages.Request(
        'POST', '/', [('x-camphorstair-prompt-prefix', prefix)], b''
    )
    decoded = headers.decode_caller(request).prompt_parts
    if parts is None:
        assert decoded == tuple(f'p{number}' for number in range(32))
    else:
        assert decoded == parts


@pytest.mark.parametrize(
    ('limit', 'per_s'),
    [
        ('2', 2),
        (' 0.75 ', 0.75),
        ('0', 0),
        ('-1', None),
        ('nan', None),
        ('1e9', None),
        ('9' * 400, None),
        ('٣', None),
        ('Fri, 04 Dec 2026 12:00:00 GMT', None),
    ],
)
def test_the_limit_that_an_answer_names_is_decoded(
    limit: str, per_s: float | None
) -> None:
    decoded = headers.decode_answer(200, [('server-limit', limit)])
    assert decoded.statement.limit_per_s == per_s
    assert bool(decoded.statement.unreadable) == (per_s is None)
    assert not headers.decode_answer(200, []).statement.unreadable


def test_the_load_and_the_refusal_of_an_answer_are_decoded() -> None:
    decoded = headers.decode_answer(
        503,
        [
            ('x-camphorstair-server-load', '3,1,8'),
            ('x-camphorstair-not-run', '1'),
            ('keep-alive', 'timeout=5'),
        ],
    )
    assert (decoded.running, decoded.waiting) == (3, 1)
    assert decoded.not_run
    assert decoded.idle_timeout_s == pytest.approx(5)
    assert headers.decode_answer(421, []).not_run
    assert not headers.decode_answer(503, []).not_run
