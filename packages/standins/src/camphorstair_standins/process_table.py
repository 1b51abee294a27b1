"""Child processes of a test or the demo, by name."""

import pathlib
import signal
import subprocess

import attrs

STOP_LIMIT_S = 20.0


class StopError(Exception):
    """A process did not exit with code 0 after SIGTERM."""


@attrs.define
class ProcessTable:
    """Child processes by name.

    :ivar directory: Directory of the log files, one for each process, that
        receive standard error.
    :ivar by_name: The processes that were neither killed nor stopped, by name.
    """

    directory: pathlib.Path
    by_name: dict[str, subprocess.Popen[bytes]] = attrs.field(factory=dict)

    def log_path(self, name: str) -> pathlib.Path:
        """Return the path of a process's log file."""
        return self.directory / f'{name}.log'

    def spawn(self, name: str, command: list[str]) -> None:
        """Start a process and append its standard error to its log file."""
        with self.log_path(name).open('ab') as log:
            self.by_name[name] = subprocess.Popen(
                command,
                stderr=log,
                stdin=subprocess.DEVNULL,
            )

    def send(self, name: str, number: int) -> None:
        """Send a signal to a process.

        :param name: Name of the process.
        :param number: Signal number.
        """
        self.by_name[name].send_signal(number)

    def kill(self, name: str) -> None:
        """Kill a process, wait for it and remove it from the table."""
        process = self.by_name.pop(name)
        process.kill()
        process.wait()

    def stop(self) -> None:
        """Send SIGTERM to all processes, wait for them and clear the table.

        A process that runs for ``STOP_LIMIT_S`` after that is killed.

        :raises StopError: if a process does not exit with code 0.
        """
        for process in self.by_name.values():
            if process.poll() is None:
                process.send_signal(signal.SIGTERM)
        outcomes = [
            f'{name}: {_wait_for_exit(self.by_name[name])}'
            for name in self.by_name
        ]
        failures = [
            outcome
            for outcome in outcomes
            if not outcome.endswith(': exit code 0')
        ]
        self.by_name.clear()
        if failures:
            raise StopError('; '.join(['not stopped gracefully', *failures]))


def _wait_for_exit(process: subprocess.Popen[bytes]) -> str:
    try:
        code = process.wait(STOP_LIMIT_S)
    except subprocess.TimeoutExpired:
        process.kill()
        process.wait()
        return 'did not stop'
    return f'exit code {code}'
