"""Moves streams away from ranks that are much slower than their group.

Written for an engine that turns slow while it has streams: all ranks make a
pass together, so its streams hold up those of all others for as long as they
run. A stream that may be resumed goes on at another rank.
"""

import logging

from camphorstair.fleet import dispatch, state

_LOG = logging.getLogger(__name__)


def move_from_slow_ranks(
    entry: state.FleetEntry,
    dispatcher: dispatch.Dispatcher,
) -> None:
    """Move what may be moved."""
    for service in list(entry.queues):
        for candidate in dispatcher.stalling(service):
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
