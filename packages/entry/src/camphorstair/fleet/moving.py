"""Moves streams away from ranks that are much slower than their group.

An engine may become slow while it serves streams. All ranks of a group run
each forward pass together, so the streams of a slow rank delay those of all
other ranks until they end. Streams that can be resumed are therefore moved to
another rank.
"""

import logging

from camphorstair.fleet import dispatch, state

_LOG = logging.getLogger(__name__)


def move_from_slow_ranks(
    entry: state.FleetEntry,
    dispatcher: dispatch.Dispatcher,
) -> None:
    """Move the streams of slow ranks that can be resumed elsewhere."""
    if not entry.moves:
        return
    for service in list(entry.queues):
        for candidate in dispatcher.choice.stalling_ranks(service):
            endpoint = candidate.endpoint.registration.endpoint
            moves = entry.moves.get(endpoint, [])
            moved = sum(move() for move in list(moves))
            if moved:
                _LOG.warning(
                    'streams moved from a slow rank',
                    extra={
                        'endpoint': endpoint,
                        'pace': candidate.load.pace,
                        'moved': moved,
                        'left': len(moves) - moved,
                    },
                )
