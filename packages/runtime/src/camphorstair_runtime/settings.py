"""Reads settings from TOML and validates them before the start."""

import pathlib
import tomllib
import typing

import attrs

from camphorstair_core import decoding

Checked = typing.TypeVar('Checked', bound='EntrySettings | AgentSettings')

_LEVELS = ('DEBUG', 'INFO', 'WARNING', 'ERROR')


class SettingsError(Exception):
    """An error in a settings file; the message names the file and key."""


@attrs.define
class Node:
    """Name and location of the process.

    :ivar name: Name of the process, unique in the fleet, as in the VM list.
    :ivar region: Region of the process.
    :ivar data_centre: Data centre of the process, as in the VM list and the
        rules.
    """

    name: str
    region: str
    data_centre: str


@attrs.define
class EntryListeners:
    """Addresses on which an entry listens, ``IP:port``.

    :ivar callers: Address for the HTTP connections of callers.
    :ivar peers: Address for the connections of other processes.
    """

    callers: str
    peers: str


@attrs.define
class AgentListeners:
    """Address on which an agent listens, ``IP:port``.

    :ivar peers: Address for the connections of other processes.
    """

    peers: str


@attrs.define
class Platform:
    """Addresses of the key-value service and of the VM list.

    :ivar key_value: ``IP:port`` of the members of the key-value service, in
        the order in which they are tried.
    :ivar vm_list: ``IP:port`` of the VM list.
    """

    key_value: list[str]
    vm_list: str


@attrs.define
class EndpointSettings:
    """The endpoint to which an agent forwards requests.

    :ivar address: ``IP:port`` of the endpoint.
    :ivar service: Service of the endpoint, as in the rules.
    """

    address: str
    service: str


@attrs.define
class Security:
    """TLS files, or the explicit choice of connections without TLS.

    :ivar plain: Whether connections are unencrypted.
    :ivar certificate: File with the certificate of the process.
    :ivar private_key: File with the private key of the process.
    :ivar authority: File with the certificate of the authority that signs the
        peers' certificates.
    :ivar token_key: File with the key that signs callers' tokens.
    """

    plain: bool = False
    certificate: str = ''
    private_key: str = ''
    authority: str = ''
    token_key: str = ''


@attrs.define
class Logging:
    """Level of the log.

    :ivar level: Lowest level that is logged: DEBUG, INFO, WARNING or ERROR.
    """

    level: str = 'INFO'


@attrs.define
class Shutdown:
    """Time limit of a graceful shutdown.

    :ivar limit_s: Time limit, above 0; reaching it is logged as an error.
    """

    limit_s: float = 60.0


@attrs.define
class Directory:
    """Lifetime of the directory's answers to callers.

    :ivar answer_lifetime_s: Time for which callers may use an answer, above
        0; an entry that shuts down goes on serving for this time.
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
    """Read and validate a settings file.

    :param path: The file.
    :param kind: The settings class.
    :returns: The settings, as an instance of the class.
    :raises SettingsError: if the file can't be read or a setting is invalid;
        the message names the file and the first invalid key.
    """
    try:
        table = tomllib.loads(path.read_text(encoding='utf-8'))
    except OSError as error:
        raise SettingsError(f'{path}: {error.strerror}') from error
    except (ValueError, RecursionError) as fault:
        raise SettingsError(f'{path}: {fault}') from fault
    try:
        return _check(table, kind)
    except ValueError as fault:
        raise SettingsError(f'{path}: {fault}') from fault


def split_address(address: str) -> tuple[str, int]:
    """Split ``IP:port`` into the host, without brackets, and the port.

    :raises ValueError: if the address is not of this form.
    """
    host, _, port = address.rpartition(':')
    number = decoding.whole_number_or(port, None)
    if not host or number is None or number > decoding.MAX_PORT:
        raise ValueError(f'"{address:.80}" is not of the form IP:port')
    return host.strip('[]'), number


def _check(table: dict[str, object], kind: type[Checked]) -> Checked:
    _reject_unknown(table, kind, '')
    converted = decoding.convert(table, kind)
    _check_addresses(converted)
    _check_security(converted.security)
    _check_bounds(converted)
    return converted


def _reject_unknown(
    table: dict[str, object],
    kind: type,
    prefix: str,
) -> None:
    fields = attrs.fields_dict(attrs.resolve_types(kind))
    for key, value in table.items():
        if key not in fields:
            raise ValueError(f'unknown setting "{prefix}{key}"')
        section_type = fields[key].type
        if isinstance(value, dict) and section_type and attrs.has(section_type):
            _reject_unknown(value, section_type, f'{prefix}{key}.')


def _addresses(converted: EntrySettings | AgentSettings) -> dict[str, str]:
    platform = converted.platform
    address_by_key = {
        f'platform.key_value[{number}]': address
        for number, address in enumerate(platform.key_value)
    }
    address_by_key['platform.vm_list'] = platform.vm_list
    address_by_key['listen.peers'] = converted.listen.peers
    if isinstance(converted, EntrySettings):
        address_by_key['listen.callers'] = converted.listen.callers
    else:
        address_by_key['endpoint.address'] = converted.endpoint.address
    return address_by_key


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
        raise ValueError('security.plain: true, but TLS files are set')
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
        raise ValueError(f'logging.level: "{level}" is not one of {_LEVELS}')
