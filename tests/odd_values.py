"""Values that another writer may put in place of sound ones.

They are of another type, out of range, very long or nest deeply.
"""

import typing

import msgspec
from hypothesis import strategies as st

# Deeper than any decoder follows.
TOO_DEEP = 3000
# A decoder may follow this, but ``repr`` may not.
DEEP = 600
_DIGITS = 400

ODD_VALUES: tuple[typing.Any, ...] = (
    None,
    True,
    -1,
    0,
    0.5,
    2**63,
    2**64,
    10**_DIGITS,
    1e308,
    -1e308,
    '',
    'odd',
    '²',
    '9' * 5000,
    '10.0.0.1:0',
    '10.0.0.1:65536',
    '10.0.0.1:²',
    'a.b:1\0',
    'x' * 100_000,
    [],
    [[]],
    [None, {}],
    {},
    {'': None},
)
# Documents that are no sound message of any kind.
UNREADABLE = (
    b'',
    b'\xff\xfe',
    b'"\xff"',
    b'{"a": 1%s}' % (b'0' * 5000),
    b'{"a": 1e999}',
    b'{"cells":%s%s}' % (b'[' * TOO_DEEP, b']' * TOO_DEEP),
    b'%s%s' % (b'[' * TOO_DEEP, b']' * TOO_DEEP),
    b'\x91' * TOO_DEEP,
    b'\xdd\xff\xff\xff\xff',
    b'\xdf\xff\xff\xff\xff',
)


def nested(depth: int) -> list[typing.Any]:
    """Return lists that nest to a depth."""
    outer: list[typing.Any] = []
    for _ in range(depth):
        outer = [outer]
    return outer


def _paths(document: object, path: tuple[typing.Any, ...] = ()) -> typing.Any:
    """Yield the path of each value in a document of dicts and lists."""
    yield path
    if isinstance(document, dict):
        for name, value in document.items():
            yield from _paths(value, (*path, name))
    elif isinstance(document, list):
        for index, element in enumerate(document):
            yield from _paths(element, (*path, index))


def _replaced(
    document: typing.Any, path: tuple[typing.Any, ...], odd: object
) -> typing.Any:
    """Return a document with another value at a path."""
    if not path:
        return odd
    changed = document.copy()
    changed[path[0]] = _replaced(document[path[0]], path[1:], odd)
    return changed


@st.composite
def documents(draw: st.DrawFn, sound: typing.Any) -> typing.Any:
    """Draw a document that differs from a sound one in one to three values.

    :param sound: The sound document, as dicts, lists and scalars.
    """
    changed = sound
    for _ in range(draw(st.integers(1, 3))):
        path = draw(st.sampled_from(list(_paths(changed))))
        odd = draw(
            st.one_of(st.sampled_from(ODD_VALUES), st.just(nested(DEEP)))
        )
        changed = _replaced(changed, path, odd)
    return changed


def near(sound: bytes) -> st.SearchStrategy[bytes]:
    """Return JSON documents that differ from a sound one, and other bytes."""
    decoded = msgspec.json.decode(sound)
    return st.one_of(
        documents(decoded).map(_json),
        st.sampled_from(UNREADABLE),
        st.binary(max_size=40),
    )


def _json(document: typing.Any) -> bytes:
    """Encode a document; numbers of any size stand as they are."""
    if isinstance(document, dict):
        parts = (
            b'%s:%s' % (msgspec.json.encode(name), _json(value))
            for name, value in document.items()
        )
        return b'{%s}' % b','.join(parts)
    if isinstance(document, list):
        return _json_list(document)
    if isinstance(document, int) and not isinstance(document, bool):
        return str(document).encode()
    return msgspec.json.encode(document)


def _json_list(elements: list[typing.Any]) -> bytes:
    depth = 0
    while len(elements) == 1 and isinstance(elements[0], list):
        elements = elements[0]
        depth += 1
    content = b','.join(_json(element) for element in elements)
    return b'%s[%s]%s' % (b'[' * depth, content, b']' * depth)
