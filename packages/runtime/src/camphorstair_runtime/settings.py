"""Settings in TOML, checked whole before anything starts."""

import pathlib
import tomllib
import typing

import attrs
import msgspec

Checked = typing.TypeVar('Checked', bound='EntrySettings | AgentSettings')

_LEVELS = ('DEBUG', 'INFO', 'WARNING', 'ERROR')


class SettingsError(Exception):
    """A fault in a settings file; the text names the file and the key."""


@attrs.define
class Node:
    """Where and what the process is.

    :ivar name: Name of the process, unique in the fleet, as in the VM list.
    :ivar region: Its region.
    :ivar data_centre: Its data centre, as in the VM list and the rules.
    """

    name: str
    region: str
    data_centre: str


@attrs.define
class EntryListeners:
    """Addresses of an entry, ``IP:port``.

    :ivar callers: Where callers connect, by HTTP.
    :ivar peers: Where the other processes connect.
    """

    callers: str
    peers: str


@attrs.define
class AgentListeners:
    """Address of an agent, ``IP:port``.

    :ivar peers: Where the other processes connect.
    """

    peers: str


@attrs.define
class Platform:
    """Addresses of the key-value service and of the VM list.

    :ivar key_value: Members of the key-value service, in the order tried.
    :ivar vm_list: The VM list.
    """

    key_value: list[str]
    vm_list: str


@attrs.define
class EndpointSettings:
    """The endpoint before which an agent stands.

    :ivar address: ``IP:port`` of the endpoint.
    :ivar service: The service that it belongs to, as in the rules.
    """

    address: str
    service: str


@attrs.define
class Security:
    """TLS files, or the explicit word that there is no TLS.

    :ivar plain: Whether connections are not encrypted.
    :ivar certificate: File of the process's own certificate.
    :ivar private_key: File of its private key.
    :ivar authority: File of the authority that signs the peers' certificates.
    :ivar token_key: File of the key that signs callers' tokens.
    """

    plain: bool = False
    certificate: str = ''
    private_key: str = ''
    authority: str = ''
    token_key: str = ''


@attrs.define
class Logging:
    """What is logged: DEBUG, INFO, WARNING or ERROR.

    :ivar level: The lowest level that is logged.
    """

    level: str = 'INFO'


@attrs.define
class Shutdown:
    """Upper bound of a graceful shutdown.

    :ivar limit_s: Above 0; reaching it is logged as an error.
    """

    limit_s: float = 60.0


@attrs.define
class Directory:
    """How long callers may keep an answer of the directory.

    :ivar answer_lifetime_s: Above 0; a leaving entry serves for as long.
    """

    answer_lifetime_s: float = 30.0


@attrs.define
class EntrySettings:
    """Settings of ``camphorstair serve``."""

    node: Node
    listen: EntryListeners
    platform: Platform
    security: Security
    logging: Logging = attrs.field(factory=Logging)
    shutdown: Shutdown = attrs.field(factory=Shutdown)
    directory: Directory = attrs.field(factory=Directory)


@attrs.define
class AgentSettings:
    """Settings of ``camphorstair-agent``."""

    node: Node
    listen: AgentListeners
    platform: Platform
    endpoint: EndpointSettings
    security: Security
    logging: Logging = attrs.field(factory=Logging)
    shutdown: Shutdown = attrs.field(factory=Shutdown)


def load(path: pathlib.Path, kind: type[Checked]) -> Checked:
    """Read and check a settings file.

    :param path: The file.
    :param kind: The settings class.
    :raises SettingsError: naming the file and the first faulty key.
    """
    try:
        table = tomllib.loads(path.read_text(encoding='utf-8'))
    except OSError as error:
        raise SettingsError(f'{path}: {error.strerror}') from error
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as fault:
        raise SettingsError(f'{path}: {fault}') from fault
    try:
        return _check(table, kind)
    except (ValueError, msgspec.ValidationError) as fault:
        raise SettingsError(f'{path}: {fault}') from fault


def split_address(address: str) -> tuple[str, int]:
    """Split ``IP:port``.

    :raises ValueError: naming the address that is not of this form.
    """
    host, _, port = address.rpartition(':')
    if not host or not (port.isascii() and port.isdigit()):
        raise ValueError(f'"{address}" is not of the form IP:port')
    return host.strip('[]'), int(port)


def _check(table: dict[str, object], kind: type[Checked]) -> Checked:
    _refuse_unknown(table, kind, '')
    converted = msgspec.convert(table, kind)
    _check_addresses(converted)
    _check_security(converted.security)
    _check_bounds(converted)
    return converted


def _refuse_unknown(
    table: dict[str, object],
    kind: type,
    prefix: str,
) -> None:
    fields = attrs.fields_dict(attrs.resolve_types(kind))
    for key, value in table.items():
        if key not in fields:
            raise ValueError(f'unknown setting "{prefix}{key}"')
        inner = fields[key].type
        if isinstance(value, dict) and inner and attrs.has(inner):
            _refuse_unknown(value, inner, f'{prefix}{key}.')


def _addresses(converted: EntrySettings | AgentSettings) -> dict[str, str]:
    platform = converted.platform
    found = {
        f'platform.key_value[{number}]': address
        for number, address in enumerate(platform.key_value)
    }
    found['platform.vm_list'] = platform.vm_list
    found['listen.peers'] = converted.listen.peers
    if isinstance(converted, EntrySettings):
        found['listen.callers'] = converted.listen.callers
    else:
        found['endpoint.address'] = converted.endpoint.address
    return found


def _check_addresses(converted: EntrySettings | AgentSettings) -> None:
    seen: dict[str, str] = {}
    for key, address in _addresses(converted).items():
        try:
            split_address(address)
        except ValueError as fault:
            raise ValueError(f'{key}: {fault}') from fault
        first = seen.setdefault(address, key)
        if first != key:
            raise ValueError(f'{key}: {address} is also {first}')


def _check_security(security: Security) -> None:
    files = (security.certificate, security.private_key, security.authority)
    if security.plain and any(files):
        raise ValueError('security.plain: true, but TLS files are given')
    if not security.plain and not all(files):
        raise ValueError(
            'security: certificate, private_key and authority are needed'
            ' unless plain = true',
        )


def _check_bounds(converted: EntrySettings | AgentSettings) -> None:
    limit_s = converted.shutdown.limit_s
    if limit_s <= 0:
        raise ValueError(f'shutdown.limit_s: {limit_s} is not above 0')
    if isinstance(converted, EntrySettings):
        lifetime_s = converted.directory.answer_lifetime_s
        if lifetime_s <= 0:
            key = 'directory.answer_lifetime_s'
            raise ValueError(f'{key}: {lifetime_s} is not above 0')
    level = converted.logging.level
    if level not in _LEVELS:
        raise ValueError(f'logging.level: "{level}" is none of {_LEVELS}')
