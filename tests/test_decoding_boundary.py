"""Tests that whatever others send is decoded, or refused with one error."""

import functools
import pathlib
import re
import types
import typing
from collections import abc

import attrs
import fleet_bench
import msgspec
import odd_values
import pytest
from hypothesis import given
from hypothesis import strategies as st

from camphorstair_core import affinity, decoding, messages
from camphorstair_core.experts import group_orders, switch
from camphorstair_core.fleet import (
    crash_reports,
    membership,
    quarantine,
    store_copy,
)
from camphorstair_fleet import (
    copy_messages,
    crash_rows,
    internal_messages,
    keys,
    member_rows,
    restored_keys,
)
from camphorstair_platform import (
    boot,
    configuration,
    engines,
    headers,
    registrations,
    store_answers,
    store_errors,
)
from camphorstair_platform_standins import documents
from camphorstair_runtime import (
    configuration_values,
    http_messages,
    leases,
    links,
    platform,
)

MEMBER = membership.Member('f', 'z', '10.0.0.1:1', '10.0.0.1:2')
RANK_REPORT = (
    b'{"Running": 1, "Waiting": 0, "KvUsed": 7, "pace": 1.5, "step": 4, '
    b'"group": {"State": "open", "epoch": 2, "rank": 0}, "Map": {"Version": '
    b'3}, "Prepared": {"Version": 4}, "Armed": [4, 9], "held": {"step": 9}}'
)
SOUND_REGISTRATION = documents.registration(
    's',
    '10.0.0.1:1',
    born=1,
    size=12,
    group={'Name': 'g', 'epoch': 1, 'rank': 2, 'State': 'open'},
)
SOUND_CONFIGURATION = documents.configuration(
    1,
    [documents.route('draft', 'streaming', 's')],
    [
        documents.service(
            's',
            EngineProfile={
                'Slots': 6,
                'KvCapacity': 186_000,
                'step_ms': 5.85,
                'read_per_s': 61_200,
                'usual': {'prompt': 700, 'answer': 140},
                'Sets': 3,
                'Experts': 96,
            },
        )
    ],
    [documents.organisation('gravier', 'k1')],
    Limits={'MaxHeaderBytes': 16_384, 'IdleTimeoutMs': 9000},
)
SOUND_ITEM = (
    b'{"Key": "servers/i-1", "Value": "e30=", "Revision": 3, "LeaseId": 0}'
)


def _member(content: bytes) -> object:
    return member_rows.decode(
        store_copy.Item(keys.member(MEMBER.name), content, 1)
    )


def _reports(content: bytes) -> object:
    history = crash_reports.CrashHistory()
    item = store_copy.Item(keys.crash_reports('f'), content, 1)
    crash_rows.apply_reports(history, 'g', item)
    return history


def _item(content: bytes) -> object:
    raw = store_answers.decode_body(http_messages.Response(200, [], content))
    return store_answers.decode_item(raw)


def _quarantine(content: bytes) -> object:
    row = decoding.from_json(content, quarantine.QuarantinedSuspect)
    return quarantine.trial_delay_s(row.trials)


def _json(message: object) -> bytes:
    return msgspec.json.encode(message)


Decode = abc.Callable[[bytes], object]
Decoders = abc.Mapping[str, tuple[Decode, bytes]]
JSON_DECODERS: Decoders = types.MappingProxyType(
    {
        'settings': (boot.decode, fleet_bench.boot_settings('10.0.0.1:1')),
        'configuration': (configuration.decode, SOUND_CONFIGURATION),
        'registration': (
            lambda content: registrations.decode('i-1', content),
            SOUND_REGISTRATION,
        ),
        'report': (engines.decode_report, RANK_REPORT),
        'counts': (
            lambda content: engines.decode_counts(content, 2),
            b'{"ExpertCounts": [[1, 2], [3, 4]], "epoch": 1}',
        ),
        'maps': (
            engines.decode_maps,
            b'{"Map": {"Version": 1, "Experts": [[1, 2], [3]]}}',
        ),
        'member': (_member, _json(MEMBER)),
        'crash reports': (
            _reports,
            _json([crash_reports.CrashReport('i-1 1', ('a',), ('b',))]),
        ),
        'quarantine': (
            _quarantine,
            _json(quarantine.QuarantinedSuspect('a', 60, 2)),
        ),
        'item of the store': (_item, SOUND_ITEM),
    }
)


@pytest.mark.parametrize('name', JSON_DECODERS)
def test_sound_documents_are_decoded(name: str) -> None:
    decode, sound = JSON_DECODERS[name]
    decode(sound)


# One entry of another writer, nested too deep or with a number too large, made
# machines lose all changes that the store had sent with it (review/3).
@given(drawn=st.data())
@pytest.mark.parametrize('name', JSON_DECODERS)
def test_odd_documents_are_decoded_or_refused_with_one_error(
    name: str, drawn: st.DataObject
) -> None:
    decode, sound = JSON_DECODERS[name]
    content = drawn.draw(odd_values.near(sound))
    try:
        decode(content)
    except (decoding.FormatError, store_errors.StoreError) as error:
        assert len(str(error)) < 2000


@pytest.mark.parametrize('name', JSON_DECODERS)
@pytest.mark.parametrize('content', odd_values.UNREADABLE, ids=len)
def test_unreadable_documents_are_refused_with_one_error(
    name: str, content: bytes
) -> None:
    decode, _sound = JSON_DECODERS[name]
    if name == 'item of the store' and not content:
        return
    with pytest.raises((decoding.FormatError, store_errors.StoreError)):
        decode(content)


ORDER = group_orders.Order(0, group_orders.OrderKind.arm, 3, 9)
RANK_ORDER = internal_messages.RankOrder(ORDER, 1, (((0, 1), (2,)),))
STATE = internal_messages.RankState(
    group_orders.RankReport(1, 4, 3, 4, 4, 9, None)
)
ITEM = store_copy.Item('servers/i-1', b'{}', 3)
MESSAGES: tuple[typing.Any, ...] = (
    copy_messages.CopyCall(1, 2, ('op/',)),
    copy_messages.UnsettledCall(2),
    copy_messages.UnsettledReply(
        2,
        (store_copy.UnsettledKey(store_copy.Item('op/config', b'{}', 3), 4),),
    ),
    copy_messages.CopyReply(
        store_copy.Update(1, 2, (ITEM,), whole=True), 0.5, 0.1
    ),
    internal_messages.EngineLoad('10.0.0.1:1', 1, 0, 1.5, True, 7),
    internal_messages.SlotRequest(1, '10.0.0.1:1', 'f', 0, 2),
    internal_messages.SlotGrant(1, '10.0.0.1:1', 0.5),
    internal_messages.RankCall(1, ORDER, 1),
    internal_messages.RankReply(1, 200, STATE),
    internal_messages.RankExperts(1, ((0, 1), (2,))),
    internal_messages.CountsCall(('10.0.0.1:1',)),
    internal_messages.CountsReply(1, ((0, 1), (2,))),
    RANK_ORDER,
    internal_messages.PrepareCall(
        RANK_ORDER, (internal_messages.PeerRank(1, '10.0.0.1:1'),)
    ),
    internal_messages.PrepareReply({0: 200}),
    internal_messages.RelayedOrder('10.0.0.1:1', RANK_ORDER),
    internal_messages.OrderOutcome(200),
)
# Numbers that MessagePack can't encode are left out here.
_PACKABLE: tuple[typing.Any, ...] = (
    None,
    True,
    -1,
    2**63,
    2**64 - 1,
    float('nan'),
    float('inf'),
    '',
    '²',
    b'\xff',
    [],
    {},
    odd_values.nested(odd_values.DEEP),
)


@given(drawn=st.data())
@pytest.mark.parametrize(
    'message', MESSAGES, ids=lambda message: type(message).__name__
)
def test_odd_messages_are_decoded_or_refused_with_one_error(
    message: typing.Any, drawn: st.DataObject
) -> None:
    raw = msgspec.to_builtins(message)
    name = drawn.draw(st.sampled_from(sorted(raw)))
    raw[name] = drawn.draw(st.sampled_from(_PACKABLE))
    content = drawn.draw(
        st.one_of(st.just(_packed(raw)), st.sampled_from(odd_values.UNREADABLE))
    )
    try:
        decoded = internal_messages.decode(content, type(message))
    except internal_messages.MessageError as error:
        assert len(str(error)) < 2000
    else:
        # What was accepted can be passed on, and holds no NaN.
        assert decoded == internal_messages.decode(
            internal_messages.encode(decoded), type(message)
        )


def _packed(raw: typing.Any) -> bytes:
    """Encode a document; lists that nest deeper than the encoder follows too."""
    deep = odd_values.nested(odd_values.DEEP)
    if isinstance(raw, dict) and deep in raw.values():
        parts = [bytes([0x80 | len(raw)])]
        for name, value in raw.items():
            parts.append(msgspec.msgpack.encode(name))
            is_deep = value == deep
            parts.append(
                b'%s\x90' % (b'\x91' * odd_values.DEEP)
                if is_deep
                else msgspec.msgpack.encode(value)
            )
        return b''.join(parts)
    return msgspec.msgpack.encode(raw)


@pytest.mark.parametrize(
    'decode',
    [
        *(functools.partial(links.decode, number) for number in messages.KINDS),
        configuration_values.decode_snapshot,
        lambda content: configuration_values.decode_head(
            platform.KeyValue(content, 1)
        ),
        lambda content: configuration_values.decode_change(
            platform.KeyValue(content, 1)
        ),
        lambda content: leases._fencing_number(platform.KeyValue(content, 1)),
        lambda content: decoding.from_json(content, switch.RankReport),
    ],
)
@pytest.mark.parametrize('content', odd_values.UNREADABLE, ids=len)
def test_the_stand_alone_product_refuses_unreadable_bytes(
    decode: abc.Callable[[bytes], object], content: bytes
) -> None:
    with pytest.raises(
        (
            decoding.FormatError,
            links.LinkError,
            configuration_values.StoreError,
            leases.LeaseError,
        )
    ):
        decode(content)


@pytest.mark.parametrize('content', odd_values.UNREADABLE, ids=len)
def test_an_unreadable_prompt_has_no_prefix(content: bytes) -> None:
    assert affinity.prefix_key(content) == 0


_NUMBERS = ('²', '9' * 5000, '-1', '1e9', '٣', ' ', '\x00', '3,0,8', '4,²,6')


# A number that only looks like one ended the attempt or the connection.
@given(
    st.dictionaries(
        st.sampled_from(
            (
                'x-camphorstair-deadline-ms',
                'x-camphorstair-token-usage',
                'x-camphorstair-length-hint',
                'x-camphorstair-prompt-prefix',
                'x-camphorstair-server-load',
                'keep-alive',
                'server-limit',
                'retry-after',
                'last-event-id',
            )
        ),
        st.one_of(
            st.sampled_from(_NUMBERS),
            st.text(st.characters(max_codepoint=255), max_size=20),
        ),
    ),
    st.sampled_from((200, 421, 503)),
)
def test_odd_headers_are_ignored(odd: dict[str, str], status: int) -> None:
    pairs = list(odd.items())
    request = http_messages.Request('POST', '/', pairs, b'')
    assert headers.decode_caller(request).attempt == ''
    assert headers.decode_answer(status, pairs).attempt == ''


@pytest.mark.parametrize('text', _NUMBERS, ids=len)
@pytest.mark.parametrize('template', ['{}', '{},{},{}', 'timeout={}'])
def test_odd_numbers_in_headers_are_ignored(text: str, template: str) -> None:
    odd = template.replace('{}', text)
    for name in ('x-camphorstair-server-load', 'keep-alive', 'server-limit'):
        headers.decode_answer(200, [(name, odd)])


@pytest.mark.parametrize('before', [None, SOUND_REGISTRATION], ids=type)
@pytest.mark.parametrize('after', odd_values.UNREADABLE, ids=len)
def test_an_unreadable_registration_never_ends_the_return_of_a_store(
    before: bytes | None, after: bytes
) -> None:
    key = f'{registrations.PREFIX}i-1'
    known = None if before is None else store_copy.Item(key, before, 1)
    assert restored_keys.applies_at_once(known, store_copy.Item(key, after, 2))


@pytest.mark.parametrize(
    'address',
    [
        '10.0.0.1:0',
        '10.0.0.1:65536',
        '10.0.0.1:²',
        '10.0.0.1:99999999999999999999',
        '10.0.0.1',
        ':80',
        'a.example:80',
        '10.0.0.1\x00:80',
        '10.0.0.256:80',
        f'{"x" * 300}:80',
    ],
)
def test_a_registration_without_a_usable_address_names_no_endpoint(
    address: str,
) -> None:
    content = documents.registration('s', address)
    with pytest.raises(decoding.FormatError):
        registrations.decode('i-1', content)
    member = attrs.evolve(MEMBER, internal_address=address)
    with pytest.raises(decoding.FormatError):
        _member(_json(member))


def test_an_unreadable_item_leaves_the_others_of_its_page() -> None:
    sound = msgspec.json.decode(SOUND_ITEM)
    raw = {
        'Items': [
            {'Key': 3},
            {**sound, 'Revision': 10**400},
            {**sound, 'Key': 'servers/i-2', 'Value': '%'},
            sound,
        ]
    }
    unusable, sound_item = store_answers.decode_items(raw, 'Items')
    assert (unusable.key, unusable.content) == ('servers/i-2', b'')
    assert sound_item.key == 'servers/i-1'


DECODERS = re.compile(
    r'msgspec\.(json|msgpack)\.(decode|Decoder)|msgspec\.convert|json\.loads'
)


def test_bytes_from_outside_are_decoded_at_one_place() -> None:
    root = pathlib.Path(__file__).parents[1]
    found = [
        path.relative_to(root).as_posix()
        for folder in ('packages', 'platform')
        for path in (root / folder).rglob('*.py')
        if DECODERS.search(path.read_text())
        and 'standins' not in path.as_posix()
    ]
    assert found == ['packages/core/src/camphorstair_core/decoding.py']
