"""Termination signals as something that a task can wait for."""

import signal
import socket

import curio


def _ignore(number: int, frame: object) -> None:
    """Leave the signal to the wakeup socket."""


def watch() -> curio.io.Socket:
    """Catch SIGTERM and SIGINT.

    :returns: A socket on which a byte arrives for each signal.
    """
    receiver, sender = socket.socketpair()
    sender.setblocking(False)  # noqa: WPS425
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, _ignore)
    signal.set_wakeup_fd(sender.detach())
    return curio.io.Socket(receiver)
