"""Listens for connections, and ends them with the listener."""

import ssl
from collections import abc

import curio

BACKLOG = 128

Serve = abc.Callable[[curio.io.Socket, object], abc.Awaitable[None]]


async def serve(
    host: str,
    port: int,
    serve_one: Serve,
    context: ssl.SSLContext | None = None,
) -> None:
    """Serve connections until cancelled, and then end those that are open.

    A server of curio that is cancelled just as it accepts a connection would
    wait for that connection's end.

    :param host: Address to listen at.
    :param port: Port to listen at.
    :param serve_one: Serves one connection; it is closed afterwards.
    :param context: TLS context, or None for plain TCP.
    """
    tasks: set[curio.Task] = set()

    async def serve_client(sock: curio.io.Socket, address: object) -> None:
        try:
            async with await _secured(sock, context) as client:
                await serve_one(client, address)
        finally:
            tasks.discard(await curio.current_task())

    async with curio.tcp_server_socket(host, port, backlog=BACKLOG) as listener:
        try:
            while True:
                client, address = await listener.accept()
                task = await curio.spawn(
                    serve_client, client, address, daemon=True
                )
                tasks.add(task)
        finally:
            await _end(list(tasks))


async def _secured(
    sock: curio.io.Socket,
    context: ssl.SSLContext | None,
) -> curio.io.Socket:
    if context is None:
        return sock
    return await curio.ssl.CurioSSLContext(context).wrap_socket(
        sock, server_side=True, do_handshake_on_connect=False
    )


async def _end(tasks: list[curio.Task]) -> None:
    for task in tasks:
        await task.cancel(blocking=False)
    for running in tasks:
        await running.wait()
