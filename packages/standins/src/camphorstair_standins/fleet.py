"""Runs a small fleet as separate processes on loopback."""

import functools
import pathlib
import subprocess
import sys

import attrs
import msgspec

from camphorstair_core import tokens, vms
from camphorstair_standins import loopback, process_table, sites

START_LIMIT_S = 30.0
ANSWER_LIFETIME_S = 1.0
TOKEN_KEY = b'demo key of the stand-in fleet'


class FleetError(Exception):
    """The command ``camphorstair apply`` failed."""


@attrs.define
class Fleet:
    """Entries, agents and fake services on loopback.

    :ivar directory: Directory of the settings, rules, key and log files.
    :ivar site: Definition of the fleet.
    :ivar key_value_address: ``IP:port`` of the fake key-value service.
    :ivar vm_list_address: ``IP:port`` of the fake VM list service.
    :ivar listed: The VMs of the fleet.
    :ivar endpoint_addresses: ``IP:port`` of each endpoint, by the VM's name.
    :ivar engine_settings: Settings of the fake engines, as JSON; see
        :class:`camphorstair_standins.engine.EngineSettings`.
    :ivar booking_s: Duration of a booking at the fake plain services.
    :ivar answer_lifetime_s: How long callers may cache directory answers.
    :ivar shutdown_limit_s: Time limit of a graceful shutdown.
    :ivar processes: The processes, by the VM's or fake service's name.
    """

    directory: pathlib.Path
    site: sites.Site
    key_value_address: str = attrs.field(factory=loopback.free_address)
    vm_list_address: str = attrs.field(factory=loopback.free_address)
    listed: list[vms.Vm] = attrs.field(factory=list)
    endpoint_addresses: dict[str, str] = attrs.field(factory=dict)
    engine_settings: str = '{}'
    booking_s: float = 0.02
    answer_lifetime_s: float = ANSWER_LIFETIME_S
    shutdown_limit_s: float = 60.0
    processes: process_table.ProcessTable = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Create an empty process table."""
        self.processes = process_table.ProcessTable(self.directory)

    @property
    def rules_path(self) -> pathlib.Path:
        """Path of the rules file."""
        return self.directory / 'rules.txt'

    @property
    def entries(self) -> list[vms.Vm]:
        """The entry VMs."""
        return [vm for vm in self.listed if vm.role is vms.VmRole.entry]

    @property
    def agents(self) -> list[vms.Vm]:
        """The agent VMs, one for each endpoint."""
        return [vm for vm in self.listed if vm.role is vms.VmRole.agent]

    def settings_path(self, name: str) -> pathlib.Path:
        """Return the path of the settings file of a VM's process."""
        return self.directory / f'{name}.toml'

    def start(self) -> None:
        """Start all processes, wait until they listen, and apply the rules.

        :raises loopback.WaitError: if an address does not accept connections
            within ``START_LIMIT_S``.
        :raises FleetError: if the initial rules cannot be applied.
        """
        self.listed = sites.create_vms(self.site, loopback.free_address)
        self.rules_path.write_text(self.site.rules, encoding='utf-8')
        (self.directory / 'token.key').write_bytes(TOKEN_KEY)
        self._start_standins()
        for vm in self.listed:
            self.start_vm(vm)
        self._wait_listening()
        self.apply()

    def start_vm(self, vm: vms.Vm) -> None:
        """Write the settings file of a VM's process and start the process."""
        path = self.settings_path(vm.name)
        path.write_text(settings_text(self, vm), encoding='utf-8')
        binary = 'camphorstair-agent'
        arguments = ['--settings', str(path)]
        if vm.role is vms.VmRole.entry:
            binary = 'camphorstair'
            arguments = ['serve', *arguments]
        self.processes.spawn(vm.name, [_binary(binary), *arguments])

    def command(self, *arguments: str) -> subprocess.CompletedProcess[str]:
        """Run the ``camphorstair`` command and return its result."""
        return subprocess.run(
            [_binary('camphorstair'), *arguments],
            capture_output=True,
            text=True,
            timeout=loopback.CALL_LIMIT_S,
            check=False,
        )

    def apply(self) -> str:
        """Apply the rules file to the whole fleet.

        :returns: Standard output of ``camphorstair apply``.
        :raises FleetError: if the command fails.
        """
        path = str(self.settings_path(self.entries[0].name))
        completed = self.command(
            'apply', str(self.rules_path), '--settings', path
        )
        if completed.returncode:
            raise FleetError(
                f'camphorstair apply failed: {completed.stdout}{completed.stderr}'
            )
        return completed.stdout

    def token(self, organisation: str) -> str:
        """Return a valid bearer token of an organisation."""
        return tokens.issue(TOKEN_KEY, organisation)

    def publish_list(self) -> None:
        """Publish ``listed`` through the fake VM list service."""
        body = msgspec.json.encode({'vms': self.listed})
        loopback.http_call(self.vm_list_address, '/v1/vms', body)

    def _start_standins(self) -> None:
        self._spawn_standin('key_value', 'key_value', self.key_value_address)
        self._spawn_standin('vm_list', 'vm_list', self.vm_list_address)
        for vm in self.agents:
            address = loopback.free_address()
            self.endpoint_addresses[vm.name] = address
            name = f'{vm.name}-endpoint'
            if vm.service == 'comptoir':
                self._spawn_standin(name, 'plain', address, str(self.booking_s))
            else:
                behaviour = self.engine_settings
                self._spawn_standin(name, 'engine', address, behaviour)
        loopback.wait_for(
            lambda: loopback.listening(self.vm_list_address), START_LIMIT_S
        )
        self.publish_list()

    def _spawn_standin(self, name: str, module: str, *arguments: str) -> None:
        path = f'camphorstair_standins.{module}'
        self.processes.spawn(name, [sys.executable, '-m', path, *arguments])

    def _wait_listening(self) -> None:
        addresses = [vm.peers_address for vm in self.listed]
        addresses.extend(vm.callers_address for vm in self.entries)
        addresses.extend(self.endpoint_addresses.values())
        for address in addresses:
            loopback.wait_for(
                functools.partial(loopback.listening, address), START_LIMIT_S
            )


def settings_text(fleet: Fleet, vm: vms.Vm) -> str:
    """Return the text of the settings file of a VM's process."""
    lines = [
        '[node]',
        f'name = "{vm.name}"',
        f'region = "{vm.region}"',
        f'data_centre = "{vm.data_centre}"',
        '[platform]',
        f'key_value = ["{fleet.key_value_address}"]',
        f'vm_list = "{fleet.vm_list_address}"',
        '[security]',
        'plain = true',
        f'token_key = "{fleet.directory}/token.key"',
        '[shutdown]',
        f'limit_s = {fleet.shutdown_limit_s}',
        '[listen]',
        f'peers = "{vm.peers_address}"',
    ]
    if vm.role is vms.VmRole.entry:
        lines.append(f'callers = "{vm.callers_address}"')
        lines.append('[directory]')
        lines.append(f'answer_lifetime_s = {fleet.answer_lifetime_s}')
    else:
        lines.append('[endpoint]')
        lines.append(f'address = "{fleet.endpoint_addresses[vm.name]}"')
        lines.append(f'service = "{vm.service}"')
    return '\n'.join([*lines, ''])


def _binary(name: str) -> str:
    return str(pathlib.Path(sys.executable).with_name(name))
