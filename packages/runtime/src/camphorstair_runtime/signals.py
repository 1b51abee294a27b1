"""Termination signals as something that a task can wait for."""

import signal
import socket

import curio


def _ignore(number: int, frame: object) -> None:
    """Leave the signal to the wakeup socket."""


def watch(*others: signal.Signals) -> curio.io.Socket:
    """Catch SIGTERM and SIGINT.

    :param others: Further signals to catch.
    :returns: A socket on which the number of each signal arrives as a byte.
    """
    receiver, sender = socket.socketpair()
    # The method takes its flag by position only.
    sender.setblocking(False)  # noqa: WPS425
    for number in (signal.SIGTERM, signal.SIGINT, *others):
        signal.signal(number, _ignore)
    signal.set_wakeup_fd(sender.detach())
    return curio.io.Socket(receiver)


def ignore() -> None:
    """Ignore further signals while the interpreter exits.

    The interpreter restores the default action of a signal that has a handler
    before it ends; a second SIGTERM would then change the exit code.
    """
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, signal.SIG_IGN)
