"""Serves the metrics of a process in the Prometheus text format."""

import http

from camphorstair_runtime import http_messages, http_server, listening, metrics

# The usual port of Prometheus exporters.
PORT = 9464
PATH = '/metrics'


async def handle(
    request: http_messages.Request,
    responder: http_server.Responder,
) -> None:
    """Answer one request; any path but ``PATH`` gets a 404."""
    if request.path != PATH:
        body = {'error': f'unknown path {request.path}'}
        await responder.respond(
            http_messages.json_response(http.HTTPStatus.NOT_FOUND, body),
        )
        return
    headers = [('content-type', 'text/plain; version=0.0.4')]
    content = metrics.exposition()
    await responder.respond(
        http_messages.Response(http.HTTPStatus.OK, headers, content),
    )


async def serve(host: str, port: int = PORT) -> None:
    """Serve the metrics until cancelled."""
    server = http_server.Server(handle)
    await listening.serve(host, port, server.serve)
