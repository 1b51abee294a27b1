"""Starts a serving module without libraries that it does not use.

``python -OO -m camphorstair_runtime.launcher MODULE [FILE]``

Without a file the module reads the platform's settings, and again at SIGHUP.
Until it handles that signal there is nothing to read again, and the default
action would end the process.
"""

import importlib
import os
import signal
import sys
import types
import typing

# curio names asyncio for a bridge that the processes do not use.
_NEVER_CALLED = ('asyncio',)
# The OpenTelemetry SDK reads process attributes by it if it is there.
_OPTIONAL = ('psutil',)


def replace_process(module: str, path: str) -> typing.NoReturn:
    """Become a serving process; the command line's libraries are gone.

    :param module: The module whose ``main`` is called.
    :param path: Its settings file.
    """
    # Without docstrings the process takes less memory.
    command = [sys.executable, '-OO', '-m', __spec__.name, module, path]
    os.execv(sys.executable, command)


def _leave_out() -> None:
    for name in _NEVER_CALLED:
        sys.modules[name] = types.ModuleType(name)
    for optional in _OPTIONAL:
        sys.modules[optional] = typing.cast(types.ModuleType, None)


def main() -> None:
    """Run the module that the command names."""
    name, *files = sys.argv[1:]
    if not files:
        signal.signal(signal.SIGHUP, signal.SIG_IGN)
    _leave_out()
    importlib.import_module(name).main(*files)


if __name__ == '__main__':
    main()
