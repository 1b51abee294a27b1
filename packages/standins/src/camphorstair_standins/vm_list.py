"""Fake of the platform's VM list service.

``python -m camphorstair_standins.vm_list IP:port``

A POST replaces the list; a GET returns it.
"""

import http
import sys

import attrs

from camphorstair_runtime import http_messages, http_server
from camphorstair_standins import serving


@attrs.define
class ListHolder:
    """HTTP handler that stores the VM list.

    :ivar body: The list, encoded as JSON.
    """

    body: bytes = b'{"vms":[]}'

    async def handle(
        self,
        request: http_messages.Request,
        responder: http_server.Responder,
    ) -> None:
        """Replace the list on POST, and return the current one."""
        if request.method == 'POST':
            self.body = request.body
        headers = [('content-type', 'application/json')]
        await responder.respond(
            http_messages.Response(http.HTTPStatus.OK, headers, self.body),
        )


if __name__ == '__main__':
    serving.run(sys.argv[1], ListHolder().handle)
