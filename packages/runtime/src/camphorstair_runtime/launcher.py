"""Starts a serving module without libraries that it does not use.

``python -OO -m camphorstair_runtime.launcher MODULE FILE``
"""

import importlib
import os
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
    _leave_out()
    module = importlib.import_module(sys.argv[1])
    module.main(sys.argv[2])


if __name__ == '__main__':
    main()
