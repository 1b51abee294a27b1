"""Starts a small fleet of separate processes on loopback, and stops it."""

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
    """The fleet did not come up, or a change was not accepted."""


@attrs.define
class Fleet:
    """A running fleet.

    :ivar directory: Where its settings and logs are.
    :ivar site: What it was made from.
    :ivar listed: Its VMs.
    :ivar endpoint_addresses: Address of each endpoint, by its VM's name.
    :ivar engine_settings: Behaviour of its engines, as JSON.
    :ivar booking_s: Time that its plain services take for a booking.
    :ivar answer_lifetime_s: How long directory answers may be kept.
    :ivar shutdown_limit_s: Upper bound of a graceful shutdown.
    :ivar processes: Its processes by name.
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
        """Begin without processes."""
        self.processes = process_table.ProcessTable(self.directory)

    @property
    def rules_path(self) -> pathlib.Path:
        """The rules file."""
        return self.directory / 'rules.txt'

    @property
    def entries(self) -> list[vms.Vm]:
        """The entry VMs."""
        return [vm for vm in self.listed if vm.role is vms.VmRole.entry]

    @property
    def agents(self) -> list[vms.Vm]:
        """The endpoint VMs."""
        return [vm for vm in self.listed if vm.role is vms.VmRole.agent]

    def settings_path(self, name: str) -> pathlib.Path:
        """Return the settings file of a VM's process."""
        return self.directory / f'{name}.toml'

    def start(self) -> None:
        """Start everything, put the first rules in force, and wait."""
        self.listed = sites.describe(self.site, loopback.free_address)
        self.rules_path.write_text(self.site.rules, encoding='utf-8')
        (self.directory / 'token.key').write_bytes(TOKEN_KEY)
        self._start_standins()
        for vm in self.listed:
            self.start_vm(vm)
        self._wait_listening()
        self.apply()

    def start_vm(self, vm: vms.Vm) -> None:
        """Write the settings of a VM's process and start it."""
        path = self.settings_path(vm.name)
        path.write_text(settings_text(self, vm), encoding='utf-8')
        binary = 'camphorstair-agent'
        arguments = ['--settings', str(path)]
        if vm.role is vms.VmRole.entry:
            binary = 'camphorstair'
            arguments = ['serve', *arguments]
        self.processes.spawn(vm.name, [_binary(binary), *arguments])

    def command(self, *arguments: str) -> subprocess.CompletedProcess[str]:
        """Run the operators' command line."""
        return subprocess.run(
            [_binary('camphorstair'), *arguments],
            capture_output=True,
            text=True,
            timeout=loopback.CALL_LIMIT_S,
            check=False,
        )

    def apply(self) -> str:
        """Put the rules file in force everywhere.

        :returns: What the command line printed.
        :raises FleetError: if it failed.
        """
        path = str(self.settings_path(self.entries[0].name))
        done = self.command('apply', str(self.rules_path), '--settings', path)
        if done.returncode:
            raise FleetError(f'apply: {done.stdout}{done.stderr}')
        return done.stdout

    def token(self, organisation: str) -> str:
        """Return the token of an organisation."""
        return tokens.issue(TOKEN_KEY, organisation)

    def publish_list(self) -> None:
        """Send the VM list to its stand-in."""
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

    def _spawn_standin(self, name: str, module: str, *words: str) -> None:
        path = f'camphorstair_standins.{module}'
        self.processes.spawn(name, [sys.executable, '-m', path, *words])

    def _wait_listening(self) -> None:
        addresses = [vm.peers_address for vm in self.listed]
        addresses.extend(vm.callers_address for vm in self.entries)
        addresses.extend(self.endpoint_addresses.values())
        for address in addresses:
            loopback.wait_for(
                functools.partial(loopback.listening, address), START_LIMIT_S
            )


def settings_text(fleet: Fleet, vm: vms.Vm) -> str:
    """Return the settings file of a VM's process."""
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
