"""A server fails part of the bookings that it has run, with a 503 of its own."""

import asyncio
import os
import pathlib
import random
import signal
import sys
import tempfile

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / 'standins-3'))

import deployment
import http_io
import store as store_standin

TROUBLE = os.environ.get('TROUBLE', '1') != '0'
ENTRIES = 3
RUNNERS = 3
CLIENTS = 6
LENGTH_S = 20.0
FAULT_FROM_S = 3.0
FAULT_FOR_S = 6.5
FAULT_SHARE = 0.45
PROMISES = frozenset((408, 421, 429, 503))


class GreyRunner(deployment.Runner):
    """A server that at times fails after it has done the work."""

    fails = False

    async def handle(self, request, writer):
        """Run one request; fail with a 503 that does not say 'not run'."""
        if not self.fails or random.random() >= FAULT_SHARE:
            return await super().handle(request, writer)
        attempt = request.header(deployment.ATTEMPT)
        headers = [('X-Camphorstair-Attempt-Id', attempt)]
        if request.header(deployment.EXPECT) != self.name:
            writer.write(http_io.answer(421, headers))
            return True
        self.ran.append((self.record.now(), attempt))
        self.record.line(
            f'ran       {attempt} at {self.name}, then failed: 503'
        )
        await asyncio.sleep(self.work_s)
        seal = f'{self.name}.{attempt}'
        headers.append(('X-Camphorstair-Server-Seal', seal))
        writer.write(http_io.answer(503, headers, b'failed after the work'))
        return True


class Scenario:
    """One run."""

    def __init__(self, folder):
        """Lay out the deployment."""
        self.record = deployment.Record(HERE / 'record.txt')
        net = deployment.network()
        host = f'{net}.1'
        self.store = store_standin.Store(host, deployment.free_port(host))
        self.runners = [
            GreyRunner(
                host, deployment.free_port(host), f'i-{number + 1}', self.record
            )
            for number in range(RUNNERS)
        ]
        self.entries = []
        self.addresses = []
        self.ready = []
        address = f'{host}:{self.store.server.port}'
        for number in range(ENTRIES):
            entry_host = f'{net}.{10 + number}'
            ports = [deployment.free_port(entry_host) for _ in range(4)]
            name = f'front-{number + 1}'
            settings = deployment.entry_settings(
                name, entry_host, ports, address
            )
            self.entries.append(
                deployment.Program('entry', name, settings, folder)
            )
            self.addresses.append((entry_host, ports[0]))
            self.ready.append((entry_host, ports[1]))
        self.answers = {}
        self.bookings = {}
        self.count = 0
        self.over = False

    async def client(self, number):
        """Send bookings; retry once, on a new channel, after a promise."""
        while not self.over:
            self.count += 1
            booking = f'yard-{number + 1}-{self.count}'
            status = await self.attempt(number, booking, 1)
            if status in PROMISES:
                await asyncio.sleep(0.5)
                await self.attempt(number, booking, 2)
            await asyncio.sleep(0.3)

    async def attempt(self, number, booking, turn):
        """Send one attempt at a booking and return the answer's status."""
        attempt = f'{booking}-try-{turn}'
        self.bookings.setdefault(booking, []).append(attempt)
        told = await http_io.call(
            self.addresses[number % ENTRIES],
            'POST',
            '/book/yard',
            [
                ('Host', deployment.HOST),
                ('X-Camphorstair-Attempt-Id', attempt),
                ('X-Camphorstair-Deadline-Ms', '4000'),
                ('Authorization', 'Token key-a1'),
            ],
            booking.encode(),
        )
        self.answers[attempt] = told.status
        self.record.line(
            f'answered  {attempt} by front-{number % ENTRIES + 1}:'
            f' {told.status or told.fault}'
        )
        return told.status

    async def play(self):
        """Play the plan; return whether the rule held."""
        await self.store.server.start()
        for runner in self.runners:
            await runner.server.start()
            self.store.put(
                f'servers/{runner.name}', runner.registration('comptoir')
            )
        self.store.put(
            'op/config',
            deployment.configuration(
                1,
                [deployment.route('book', 'comptoir', 'non_idempotent')],
                ['comptoir'],
                {'tenant-a': ['key-a1']},
            ),
        )
        for entry in self.entries:
            entry.start()
        for address in self.ready:
            if not await deployment.wait_ready(address):
                raise RuntimeError('an entry did not become ready')
        tasks = [
            asyncio.create_task(self.client(number))
            for number in range(CLIENTS)
        ]
        await asyncio.sleep(FAULT_FROM_S)
        self.runners[0].fails = TROUBLE
        self.record.line(f'i-1 fails part of its requests: {TROUBLE}')
        await asyncio.sleep(FAULT_FOR_S)
        self.runners[0].fails = False
        self.record.line('i-1 is well')
        await asyncio.sleep(LENGTH_S - FAULT_FROM_S - FAULT_FOR_S)
        self.over = True
        await asyncio.gather(*tasks)
        return self.judge()

    def judge(self):
        """Return whether all that was refused as not run has not run."""
        ran = {
            attempt for runner in self.runners for _at_s, attempt in runner.ran
        }
        broken = [
            (attempt, status)
            for attempt, status in self.answers.items()
            if status in PROMISES and attempt in ran
        ]
        for attempt, status in broken:
            self.record.line(f'BROKEN    {attempt} has run, answered {status}')
        twice = [
            booking
            for booking, attempts in self.bookings.items()
            if sum(attempt in ran for attempt in attempts) > 1
        ]
        served = sum(status == 200 for status in self.answers.values())
        text = (
            f'{len(broken)} bookings answered as not run have run,'
            f' {len(twice)} bookings were made twice by that, {served} served'
        )
        self.record.line(text)
        print(text)
        if not served:
            raise RuntimeError('nothing was served')
        return not broken

    def end(self):
        """End the processes that the run started."""
        for entry in self.entries:
            entry.send(signal.SIGKILL)
        for entry in self.entries:
            entry.end()


async def main():
    """Run the case; return its exit code."""
    with tempfile.TemporaryDirectory() as folder:
        scenario = Scenario(folder)
        try:
            held = await scenario.play()
        finally:
            scenario.end()
            for runner in scenario.runners:
                await runner.server.stop()
            await scenario.store.server.stop()
    return 0 if held else 1


deployment.run(main)
