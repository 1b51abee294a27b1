"""Reserves endpoints for requests that move there without being queued."""

from camphorstair.fleet import dispatch
from camphorstair_core.fleet import placement, waiting
from camphorstair_runtime import clocks


def find(
    dispatcher: dispatch.Dispatcher,
    service: str,
    waiter: waiting.Waiter,
    current: placement.Candidate,
) -> placement.Candidate | None:
    """Return an endpoint that takes a request at once in place of another.

    :param dispatcher: Assigns endpoints.
    :param service: The service of the request.
    :param waiter: The request.
    :param current: The endpoint that has the request now.
    :returns: None if there is none, or if the request crashes endpoints.
    """
    now_s = clocks.monotonic_s()
    quarantined = dispatcher.entry.crashes.quarantined
    if quarantined.find(waiter.untried(), now_s) is not None:
        return None
    choice = dispatcher.choice
    others = [
        candidate
        for candidate in choice.usable(service)
        if candidate is not current
    ]
    return choice.choose(choice.free(service, others, now_s), waiter, now_s)


def reserve(
    dispatcher: dispatch.Dispatcher,
    service: str,
    waiter: waiting.Waiter,
    candidate: placement.Candidate,
) -> None:
    """Count a request at a free endpoint.

    The endpoint must be passed to ``Dispatcher.release``.

    :param dispatcher: Assigns endpoints.
    :param service: The service of the request.
    :param waiter: The request.
    :param candidate: The endpoint.
    """
    now_s = clocks.monotonic_s()
    queue = dispatcher.entry.queue(service)
    waiting.count_started(queue, waiter.organisation)
    dispatcher.ranked.note_start(service, queue, waiter, now_s)
    dispatcher.choice.count_sent(candidate, waiter, now_s)
