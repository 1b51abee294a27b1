"""A TCP listener that cancels its connections when it is cancelled."""

import ssl
from collections import abc

import curio

from camphorstair_runtime import fairness

BACKLOG = 128

Serve = abc.Callable[[curio.io.Socket, object], abc.Awaitable[None]]


async def serve(
    host: str,
    port: int,
    serve_one: Serve,
    context: ssl.SSLContext | None = None,
) -> None:
    """Serve connections until cancelled, then cancel those still open.

    This replaces ``curio.tcp_server``, which waits for a connection to end if
    it is cancelled while accepting that connection.

    :param host: IP address to listen on.
    :param port: Port to listen on.
    :param serve_one: Serves one connection, which is closed when it returns.
    :param context: TLS context, or None for plain TCP.
    """
    tasks: set[curio.Task] = set()

    async def serve_client(sock: curio.io.Socket, address: object) -> None:
        try:
            async with await _wrap_tls(sock, context) as client:
                await serve_one(client, address)
        finally:
            tasks.discard(await curio.current_task())

    async with curio.tcp_server_socket(host, port, backlog=BACKLOG) as listener:
        try:
            while True:
                await fairness.count_event()
                client, address = await listener.accept()
                task = await curio.spawn(
                    serve_client, client, address, daemon=True
                )
                tasks.add(task)
        finally:
            await _cancel_all(list(tasks))


async def _wrap_tls(
    sock: curio.io.Socket,
    context: ssl.SSLContext | None,
) -> curio.io.Socket:
    if context is None:
        return sock
    return await curio.ssl.CurioSSLContext(context).wrap_socket(
        sock, server_side=True, do_handshake_on_connect=False
    )


async def _cancel_all(tasks: list[curio.Task]) -> None:
    for task in tasks:
        await task.cancel(blocking=False)
    for running in tasks:
        await running.wait()
