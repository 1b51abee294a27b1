"""Delivers signals to tasks through a socket."""

import signal
import socket

import curio


def _do_nothing(number: int, frame: object) -> None:
    """Do nothing: the signal is delivered through the wakeup socket."""


def watch(*others: signal.Signals) -> curio.io.Socket:
    """Catch SIGTERM, SIGINT and other signals.

    :param others: The other signals to catch.
    :returns: A socket that receives the number of each signal as one byte.
    """
    receiver, sender = socket.socketpair()
    # The parameter of setblocking is positional-only.
    sender.setblocking(False)  # noqa: WPS425
    for number in (signal.SIGTERM, signal.SIGINT, *others):
        signal.signal(number, _do_nothing)
    signal.set_wakeup_fd(sender.detach())
    return curio.io.Socket(receiver)


def ignore() -> None:
    """Ignore all signals that may be caught while the interpreter exits.

    On exit, the interpreter restores the default action of signals that have
    a handler; a second SIGTERM, or a SIGHUP, would then change the exit code.
    """
    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
        signal.signal(number, signal.SIG_IGN)
