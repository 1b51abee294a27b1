"""Processes that a test or the demo started, by name."""

import pathlib
import signal
import subprocess

import attrs

STOP_LIMIT_S = 20.0


class StopError(Exception):
    """A process did not stop gracefully."""


@attrs.define
class ProcessTable:
    """Processes by name.

    :ivar directory: Where their standard errors go, one file each.
    """

    directory: pathlib.Path
    rows: dict[str, subprocess.Popen[bytes]] = attrs.field(factory=dict)

    def log_path(self, name: str) -> pathlib.Path:
        """Return the file with the standard error of a process."""
        return self.directory / f'{name}.log'

    def spawn(self, name: str, command: list[str]) -> None:
        """Start a process whose standard error goes to its log file."""
        with self.log_path(name).open('ab') as log:
            self.rows[name] = subprocess.Popen(
                command,
                stderr=log,
                stdin=subprocess.DEVNULL,
            )

    def send(self, name: str, number: int) -> None:
        """Send a signal to a process."""
        self.rows[name].send_signal(number)

    def kill(self, name: str) -> None:
        """End a process at once and forget it."""
        process = self.rows.pop(name)
        process.kill()
        process.wait()

    def stop(self) -> None:
        """Stop all processes gracefully.

        :raises StopError: if one does not stop with exit code 0.
        """
        for process in self.rows.values():
            if process.poll() is None:
                process.send_signal(signal.SIGTERM)
        outcomes = [f'{name}: {_end(self.rows[name])}' for name in self.rows]
        bad = [one for one in outcomes if not one.endswith(': exit code 0')]
        self.rows.clear()
        if bad:
            raise StopError('; '.join(['not stopped gracefully', *bad]))


def _end(process: subprocess.Popen[bytes]) -> str:
    try:
        code = process.wait(STOP_LIMIT_S)
    except subprocess.TimeoutExpired:
        process.kill()
        process.wait()
        return 'did not stop'
    return f'exit code {code}'
