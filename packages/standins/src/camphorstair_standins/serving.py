"""Runs the HTTP server of a fake service until SIGTERM."""

import curio

from camphorstair_runtime import http_server, listening, settings, signals


async def _run(address: str, handler: http_server.ResponderHandler) -> None:
    terminated = signals.watch()
    server = http_server.Server(handler)
    async with curio.TaskGroup(wait=any) as group:
        await group.spawn(
            listening.serve,
            *settings.split_address(address),
            server.serve,
        )
        await terminated.recv(1)
        await group.cancel_remaining()


def run(address: str, handler: http_server.ResponderHandler) -> None:
    """Serve HTTP requests until SIGTERM.

    :param address: ``IP:port`` to listen on.
    :param handler: Coroutine function that responds to one request.
    """
    curio.run(_run, address, handler)
