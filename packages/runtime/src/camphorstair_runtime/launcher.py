"""Runs a serving module without importing libraries that it does not use.

``python -OO -m camphorstair_runtime.launcher MODULE [FILE]``

Without FILE, the module reads its settings from the platform and reloads them
on SIGHUP. SIGHUP is ignored until the module has installed its handler, since
the default action would terminate the process.
"""

import importlib
import os
import signal
import sys
import types
import typing

# curio imports asyncio for a bridge that the processes do not use.
_UNUSED_MODULES = ('asyncio',)
# The OpenTelemetry SDK imports psutil, if installed, for process attributes.
_OPTIONAL_MODULES = ('psutil',)


def replace_process(module: str, path: str) -> typing.NoReturn:
    """Replace the current process with one that runs a serving module.

    The new process does not load the libraries of the command line.

    :param module: The module whose ``main`` is called.
    :param path: Path of the module's settings file.
    """
    # -OO removes docstrings, which saves memory.
    command = [sys.executable, '-OO', '-m', __spec__.name, module, path]
    os.execv(sys.executable, command)


def _exclude_modules() -> None:
    for name in _UNUSED_MODULES:
        sys.modules[name] = types.ModuleType(name)
    for optional in _OPTIONAL_MODULES:
        sys.modules[optional] = typing.cast(types.ModuleType, None)


def main() -> None:
    """Run ``main`` of the module named on the command line."""
    name, *files = sys.argv[1:]
    if not files:
        signal.signal(signal.SIGHUP, signal.SIG_IGN)
    _exclude_modules()
    importlib.import_module(name).main(*files)


if __name__ == '__main__':
    main()
