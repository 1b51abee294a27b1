"""One rank of a group turns slow while it sends streams."""

import asyncio
import os
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'standins-2'))

import small_site

# TROUBLE=0 leaves the disruption out.
TROUBLE = os.environ.get('TROUBLE', '1') != '0'

RANKS = 4
# As in the site file.
SLOTS = 12
CALLERS = 28
SLOW_FACTOR = 5.0
SLOW_FOR_S = 6.5
TIMEOUT_MS = 8000
MORE_THAN = 3


async def play(site):
    small_site.Rank.size = RANKS
    ranks = [
        await small_site.Rank(
            site.store, site.record, 'drafts', number, slots=SLOTS
        ).start()
        for number in range(RANKS)
    ]
    routes = [
        small_site.route(
            'draft',
            '/draft/',
            'drafts',
            RouteKind='streaming',
            MaxAttempts=2,
            Resumable=False,
            TimeoutMs=TIMEOUT_MS,
            GapAimMs=120,
        )
    ]
    site.configure(
        3, routes, ['drafts'], [{'Name': 'yard', 'ApiKeys': ['key-1']}]
    )
    entry = await site.add_entry('front-1')
    first_port = entry.settings['InternalPorts'][0]
    for rank in ranks:
        agent = small_site.Agent(site, f'side-{rank.rank}', rank, first_port)
        site.entries.append(await agent.start())
    await entry.wait_ready()
    await asyncio.sleep(2)
    stopped = asyncio.Event()
    outcomes = {}

    async def call(caller):
        host, port = entry.callers.split(':')
        channel = None
        number = 0
        await asyncio.sleep(caller * 0.05)
        while not stopped.is_set():
            number += 1
            attempt = f'c{caller}-{number}'
            if channel is None:
                channel = await asyncio.open_connection(host, int(port))
            reader, writer = channel
            try:
                writer.write(
                    small_site.message(
                        'POST /draft/1 HTTP/1.1',
                        [
                            ('Host', 'a.example'),
                            ('Authorization', 'Token key-1'),
                            ('X-Camphorstair-Attempt-Id', attempt),
                            ('X-Camphorstair-Model', 'm'),
                            ('X-Camphorstair-Token-Usage', '700,140'),
                            (
                                'X-Camphorstair-Prompt-Prefix',
                                f'a1:40,{caller:x}{number:x}:660',
                            ),
                            ('X-Camphorstair-Deadline-Ms', TIMEOUT_MS),
                        ],
                        b'x' * 700,
                    )
                )
                await writer.drain()
                first, headers = await small_site.read_head(reader)
                body = await small_site.read_body(reader, headers)
                events = body.count(b'\n\n')
                outcomes[attempt] = f'{first.split(" ")[1]}, {events} events'
            except (small_site.Closed, ConnectionError) as error:
                outcomes[attempt] = 'closed'
                site.record.note(f'the channel of {attempt} ends: {error!r}')
                channel = None
            site.record.note(f'outcome of {attempt}: {outcomes[attempt]}')
            await asyncio.sleep(0.05)

    callers = [asyncio.ensure_future(call(n)) for n in range(CALLERS)]
    await asyncio.sleep(4)
    if TROUBLE:
        site.record.note(f'rank 0 works {SLOW_FACTOR} times as long')
        small_site.Rank.paces = {0: SLOW_FACTOR}
    await asyncio.sleep(SLOW_FOR_S)
    small_site.Rank.paces = {}
    site.record.note('all ranks are as fast as usual')
    await asyncio.sleep(2)
    stopped.set()
    await asyncio.gather(*callers)
    ran = {attempt for rank in ranks for _at, attempt, _tenant in rank.ran}
    lost = [
        name
        for name, outcome in outcomes.items()
        if outcome == 'closed' and name in ran
    ]
    failed = [
        name for name, outcome in outcomes.items() if outcome.startswith('502')
    ]
    site.record.note(f'{len(outcomes)} streams, {len(failed)} answered 502')
    site.record.note(
        f'{len(lost)} were passed on to sound runners and their'
        ' channels closed before their end'
    )
    return len(lost) > MORE_THAN


small_site.run(play, FOLDER)
