"""Turns bytes and texts of other processes into typed values.

Whatever is received from outside this process is decoded here, so that each
unusable input ends in one error, ``FormatError``, whatever is wrong with it.
"""

import ipaddress
import typing

import msgspec

# Messages encode integers with 64 bits.
MAX_NUMBER = 0x7FFFFFFFFFFFFFFF
# Largest amount; the sum of many still is a valid number.
MAX_AMOUNT = 0xFFFFFFFFFFFF
# Longest text of a whole number that surely is no more than ``MAX_NUMBER``.
MAX_DIGITS = 18
MAX_PORT = 65535
# Longest names in messages, and most in one list.
MAX_NAME_CHARACTERS = 256
MAX_NAMES = 4096
_MAX_SHOWN_CHARACTERS = 80

# Types of fields in messages; neither accepts NaN.
Amount = typing.Annotated[int, msgspec.Meta(ge=0, le=MAX_AMOUNT)]
Duration = typing.Annotated[float, msgspec.Meta(ge=0)]
# Names that processes tell each other, and lists of them.
Name = typing.Annotated[str, msgspec.Meta(max_length=MAX_NAME_CHARACTERS)]
Names = typing.Annotated[tuple[Name, ...], msgspec.Meta(max_length=MAX_NAMES)]

Kind = typing.TypeVar('Kind')


class FormatError(ValueError):
    """Input from outside the process that is not in the expected format."""


def from_json(content: bytes | str, kind: type[Kind]) -> Kind:
    """Return the value of a type that a JSON document holds.

    :raises FormatError: if the document is anything else.
    """
    try:
        return msgspec.json.decode(content, type=kind)
    except (ValueError, ArithmeticError, RecursionError) as error:
        raise _format_error(kind, error) from error


def from_msgpack(content: bytes, kind: type[Kind]) -> Kind:
    """Return the value of a type that a MessagePack document holds.

    :raises FormatError: if the document is anything else.
    """
    try:
        return msgspec.msgpack.decode(content, type=kind)
    except (ValueError, ArithmeticError, RecursionError) as error:
        raise _format_error(kind, error) from error


def convert(raw: object, kind: typing.Any) -> typing.Any:
    """Return a decoded document as a value of a type.

    :raises FormatError: if it does not hold such a value.
    """
    try:
        return msgspec.convert(raw, kind)
    except (ValueError, ArithmeticError, RecursionError) as error:
        raise _format_error(kind, error) from error


def whole_number(text: str | bytes) -> int:
    """Return the whole number that a text in ASCII digits names.

    Surrounding white space is ignored.

    :raises FormatError: if it is anything else, or longer than ``MAX_DIGITS``.
    """
    digits = text.strip()
    if len(digits) <= MAX_DIGITS and digits.isascii() and digits.isdigit():
        return int(digits)
    raise FormatError(f'{shown(text)} is not a whole number')


def whole_number_or(text: str | bytes, default: int | None) -> int | None:
    """Return the whole number that a text names, or a default."""
    try:
        return whole_number(text)
    except FormatError:
        return default


def check_address(address: str) -> str:
    """Return an address if a connection can be opened to it.

    :param address: ``IP:port``; IPv6 addresses are in brackets.
    :raises FormatError: if it is not of this form.
    """
    host, _colon, port = address.rpartition(':')
    number = whole_number_or(port, 0)
    try:
        ipaddress.ip_address(host.strip('[]'))
    except ValueError as error:
        raise FormatError(f'{shown(address)} is not IP:port') from error
    if not number or number > MAX_PORT or not port.isdigit():
        raise FormatError(f'{shown(address)} has no usable port')
    return address


def shown(field_value: object) -> str:
    """Return a description of a value from outside for an error message.

    It is short for any value; ``repr`` may fail for one that nests deeply, and
    for a very large number.
    """
    if isinstance(field_value, str | bytes):
        return repr(field_value[:_MAX_SHOWN_CHARACTERS])
    if isinstance(field_value, int) and abs(field_value) > MAX_NUMBER:
        return 'a number out of range'
    if field_value is None or isinstance(field_value, int | float):
        return repr(field_value)
    return f'a {type(field_value).__name__}'


def _format_error(kind: typing.Any, error: Exception) -> FormatError:
    name = getattr(kind, '__name__', str(kind))
    return FormatError(f'not a valid {name}: {error}')
