"""Many configurations of the size of the aim; how much memory is kept?"""

import asyncio
import json
import pathlib
import random
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'standins'))

import site_of_review as site_module
import wire

SEED = 43
KEY = 'n2ctnfzs989anu6wsjnb'
CLIENT_LIMIT_MS = 4026
WORK_MS = 900
CLIENTS = 15
# Size and number of the configurations: 5,800 organisations, and fewer changes
# than the 400 of a day.
ORGANISATIONS = 5800
KEYS_EACH = 3
ROUTES = 460
CHANGES = 360
GAP_S = 0.22
MEMORY_MB = 300
LENGTH_S = 100.0
KB_PER_MB = 1024


def configuration(version):
    """Return a configuration; the versions differ in their idle time only."""
    routes = [site_module.route('booking', 'non_idempotent', 'comptoir')]
    routes += [
        site_module.route(f'idle-{number:04}', 'idempotent', 'comptoir')
        for number in range(ROUTES - 1)
    ]
    tenants = {
        f'entreposage-{number:05}': [
            f'{number:05}n2ctnfzs989anu{key}' for key in range(KEYS_EACH)
        ]
        for number in range(ORGANISATIONS)
    }
    tenants['hule930'] = [KEY]
    content = site_module.configuration(
        version, routes, [site_module.service('comptoir')], tenants
    )
    content['Limits']['IdleTimeoutMs'] = 15000 + version
    return content


def memory_mb(process):
    """Return the resident memory of a process; 0 if it has ended."""
    try:
        status = pathlib.Path(f'/proc/{process.pid}/status').read_text()
    except OSError:
        return 0.0
    for line in status.splitlines():
        if line.startswith('VmRSS:'):
            return int(line.split()[1]) / KB_PER_MB
    return 0.0


class Caller:
    """A client that keeps its channel open for many bookings."""

    def __init__(self, site, entry, number):
        self.site = site
        self.entry = entry
        self.number = number
        self.writer = None
        self.reader = None
        self.answered_here = 0
        self.unanswered = []

    async def run(self, end_s, generator):
        count = 0
        while self.site.record.now_s() < end_s:
            count += 1
            await self._book(f'booking-{self.number}-{count}')
            await asyncio.sleep(generator.uniform(0.05, 0.2))

    async def _book(self, attempt):
        was_kept = self.answered_here > 0
        outcome = 'no answer: the channel was closed'
        try:
            async with asyncio.timeout(CLIENT_LIMIT_MS / 1000):
                outcome = (await self._exchange(attempt)).first
            self.answered_here += 1
        except (wire.Broken, OSError):
            if was_kept:
                self.unanswered.append(attempt)
            self._forget()
            await asyncio.sleep(0.3)
        except TimeoutError:
            outcome = 'no answer in time'
            self._forget()
        kept = 'a kept' if was_kept else 'a new'
        self.site.record.note(
            f'{attempt} on {kept} channel to {self.entry}: {outcome}'
        )

    def _forget(self):
        if self.writer is not None:
            self.writer.close()
        self.writer = None
        self.answered_here = 0

    async def _exchange(self, attempt):
        if self.writer is None:
            host, _colon, port = self.site.entries[self.entry].rpartition(':')
            self.reader, self.writer = await asyncio.open_connection(
                host, int(port)
            )
        headers = [
            ('Host', site_module.HOST),
            ('X-Camphorstair-Attempt-Id', attempt),
            ('X-Camphorstair-Deadline-Ms', str(CLIENT_LIMIT_MS)),
            ('Authorization', f'Token {KEY}'),
        ]
        self.writer.write(
            wire.encode('POST /booking/2f HTTP/1.1', headers, b'x' * 600)
        )
        return await wire.read_answer(self.reader)


async def limit_memory(site, entries):
    """Kill a process that exceeds its memory, as the platform does."""
    next_note_s = 0.0
    while True:
        used = {name: memory_mb(p) for name, p in entries.items()}
        if site.record.now_s() >= next_note_s:
            next_note_s = site.record.now_s() + 5
            site.record.note(f'memory in MB: {used}')
        for name, used_mb in used.items():
            if used_mb > MEMORY_MB and entries[name].poll() is None:
                entries[name].kill()
                site.record.note(
                    f'{name} is killed: {used_mb:.0f} MB of {MEMORY_MB} MB'
                )
        await asyncio.sleep(0.1)


async def change(site, trouble):
    """Write the configurations one after the other."""
    for number in range(CHANGES if trouble else 1):
        await site.put('op/config', configuration(8 + number))
        if number % 20 == 0:
            site.record.note(f'ack of configuration {8 + number}')
        await asyncio.sleep(GAP_S)


async def play(site, trouble):
    await site.start_store()
    await site.put('op/config', configuration(7))
    size = len(json.dumps(configuration(7)))
    site.record.note(f'a configuration has {size} of 1,048,576 bytes')
    runs = site.folder / 'runs.txt'
    for number, zone in enumerate(site_module.ZONES):
        address = site.free(site.address())
        name = f'i-{number}'
        site.start_standin('runner', address, name, str(runs), str(WORK_MS))
        await site.wait_listening(address)
        await site.put(
            f'servers/{name}',
            {
                'Service': 'comptoir',
                'Address': address,
                'Zone': zone,
                'Version': 'v1',
                'Slots': 6,
                'State': 'ready',
                'ColdRemainingMs': 0,
                'Sequence': 1,
            },
        )
    entries = {
        f'front-{zone}-1': site.start_entry(f'front-{zone}-1', zone)
        for zone in site_module.ZONES
    }
    await site.wait_ready()
    await asyncio.sleep(1.0)
    generator = random.Random(SEED)
    names = list(entries)
    callers = [
        Caller(site, names[number % len(names)], number)
        for number in range(CLIENTS)
    ]
    end_s = site.record.now_s() + LENGTH_S
    watch = asyncio.create_task(limit_memory(site, entries))
    changing = asyncio.create_task(change(site, trouble))
    await asyncio.gather(*(c.run(end_s, generator) for c in callers))
    watch.cancel()
    changing.cancel()
    return judge(site, runs, callers)


def judge(site, runs, callers):
    """Judge the rule LOST: at most three channels closed without an answer."""
    unanswered = {attempt for c in callers for attempt in c.unanswered}
    lost = 0
    for line in runs.read_text().splitlines():
        is_lost = line.split()[3] in unanswered
        lost += is_lost
        if is_lost:
            site.record.note(f'  {line}  ITS ANSWER WAS LOST')
    site.record.note(
        f'{lost} bookings from kept channels were run, and their channels '
        'closed without an answer'
    )
    return lost > 3


site_module.run(FOLDER, play)
