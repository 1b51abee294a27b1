"""A runner of a plain service, as PROTOCOL.md describes it.

    python3 runner.py IP:PORT INSTANCE RUNS_FILE [WORK_MS [HEADER]]

It writes a line to RUNS_FILE for each request that it runs. HEADER is a line
that it adds to the head of each answer, in UTF-8. ``POST /standin``
with a JSON object changes how it answers: ``{"flood": "head"}`` makes it
answer the next requests with bytes that are no answer, without end, until the
caller closes the connection; with ``"body"`` they come in the body of an answer,
in chunks of one byte.
"""

import asyncio
import json
import pathlib
import sys
import time

import wire

SLOTS = 6
# An interim response is not an answer: the caller has to wait for another head.
INTERIM = b'HTTP/1.1 100 Continue\r\n\r\n' * 2000
CHUNKS = b'1\r\nx\r\n' * 10000


class Runner:
    def __init__(self, name, runs_path, work_ms, header=''):
        self.name = name
        self.runs_path = pathlib.Path(runs_path)
        self.work_s = work_ms / 1000
        self.running = 0
        self.told = {}
        self.header = [tuple(header.split(': ', 1))] if header else []

    async def answer(self, request, writer, _peer):
        path = request.target.partition('?')[0]
        if path == '/standin':
            self.told = json.loads(request.body)
            writer.write(wire.encode('HTTP/1.1 200 OK', []))
            return True
        if path == '/health':
            head = [('X-Camphorstair-Instance-Id', self.name)]
            writer.write(wire.encode('HTTP/1.1 200 OK', head))
            return True
        attempt = request.header('x-camphorstair-attempt-id')
        expected = request.header('x-camphorstair-expect-instance')
        if expected and expected != self.name:
            head = [('X-Camphorstair-Instance-Id', self.name)]
            writer.write(wire.encode('HTTP/1.1 421 Misdirected Request', head))
            return True
        if self.told.get('flood'):
            await self._flood(attempt, writer)
            return False
        self.running += 1
        tenant = request.header('x-camphorstair-tenant')
        self._note('run', attempt, request.first, request.target, tenant)
        try:
            await asyncio.sleep(self.work_s)
        finally:
            self.running -= 1
        head = [
            ('X-Camphorstair-Attempt-Id', attempt),
            ('X-Camphorstair-Server-Seal', f'seal-{self.name}-{attempt}'),
            ('X-Camphorstair-Server-Load', f'{self.running},0,{SLOTS}'),
            *self.header,
        ]
        body = f'{self.name} {attempt}'.encode()
        writer.write(wire.encode('HTTP/1.1 200 OK', head, body))
        await writer.drain()
        return True

    async def _flood(self, attempt, writer):
        """Send bytes until the caller closes the connection."""
        self._note('flood begins', attempt)
        sent_bytes = 0
        block = INTERIM
        if self.told['flood'] == 'body':
            block = CHUNKS
            lines = [
                'HTTP/1.1 200 OK',
                f'X-Camphorstair-Attempt-Id: {attempt}',
                f'X-Camphorstair-Server-Seal: seal-{self.name}-{attempt}',
                'Transfer-Encoding: chunked',
            ]
            writer.write('\r\n'.join(lines).encode() + b'\r\n\r\n')
        try:
            while True:
                writer.write(block)
                await writer.drain()
                sent_bytes += len(block)
        except ConnectionError:
            pass
        self._note('flood ended by the caller', attempt, sent_bytes)

    def _note(self, *words):
        text = ' '.join(str(word) for word in words)
        with self.runs_path.open('a') as runs:
            runs.write(f'{time.monotonic():.3f} {self.name} {text}\n')


async def main():
    address, name, runs_path, *rest = sys.argv[1:]
    work_ms = float(rest[0]) if rest else 60.0
    header = rest[1] if len(rest) > 1 else ''
    runner = Runner(name, runs_path, work_ms, header)
    await wire.serve(address, runner.answer)


if __name__ == '__main__':
    asyncio.run(main())
