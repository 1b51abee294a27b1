"""One runner sends bytes without end; who is still answered?

They come in the head (interim responses) or, with FLOOD=body, in the body
(chunks of one byte).

The callers send bookings, which may not be repeated: they wait for the answer
until their own time limit, which is longer than the route's.
"""

import asyncio
import json
import os
import pathlib
import random
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'standins'))

import site_of_review as site_module
import wire

KEY = 'n2ctnfzs989anu6wsjnb'
TIMEOUT_S = 2.0
# Half a second after the route's time limit, as the rule says.
LATE_S = 0.5
CLIENT_LIMIT_MS = 4026
PER_S = 10
LENGTH_S = 20.0
STOP_LIMIT_S = 8.0
SEED = 43
WORK_MS = 90
TROUBLE_S = 5.0
# Where the bytes come: in the head or in the body.
FLOOD = os.environ.get('FLOOD', 'head')
RUNNERS = 3
BODY = b'yard=12&day=2026-12-05&deposit=250 '.ljust(600, b'.')


async def ask(site, entry, number, results):
    """Send one booking and note whether it was answered in time."""
    attempt = f'booking-{number}'
    headers = [
        ('Host', site_module.HOST),
        ('X-Camphorstair-Attempt-Id', attempt),
        ('X-Camphorstair-Deadline-Ms', str(CLIENT_LIMIT_MS)),
        ('Authorization', f'Token {KEY}'),
    ]
    sent_s = site.record.now_s()
    site.record.note(f'sent {attempt} to {entry}')
    try:
        answer = await wire.call(
            site.entries[entry],
            'POST',
            '/booking/2f',
            headers,
            BODY,
            limit_s=CLIENT_LIMIT_MS / 1000,
        )
        outcome = answer.first
    except (OSError, wire.Broken, TimeoutError) as error:
        outcome = type(error).__name__
    took_s = site.record.now_s() - sent_s
    site.record.note(f'{attempt} at {entry}: {outcome} after {took_s:.3f} s')
    results.append((sent_s, took_s, outcome))


async def play(site, trouble):
    await site.start_store()
    await site.put(
        'op/config',
        site_module.configuration(
            7,
            [site_module.route('booking', 'non_idempotent', 'comptoir')],
            [site_module.service('comptoir')],
            {'hule930': [KEY]},
        ),
    )
    runs = site.folder / 'runs.txt'
    runners = []
    for number, zone in enumerate(site_module.ZONES[:RUNNERS]):
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
        runners.append(address)
    entries = [
        site.start_entry(f'front-{zone}-1', zone) for zone in site_module.ZONES
    ]
    await site.wait_ready()
    await asyncio.sleep(1.5)
    results = []
    tasks = []
    names = list(site.entries)
    began_s = site.record.now_s()
    told = False
    generator = random.Random(SEED)
    due_s = began_s
    for number in range(int(LENGTH_S * PER_S)):
        due_s += generator.expovariate(PER_S)
        await asyncio.sleep(max(0, due_s - site.record.now_s()))
        if trouble and not told and due_s - began_s >= TROUBLE_S:
            told = True
            content = json.dumps({'flood': FLOOD}).encode()
            await wire.call(runners[0], 'POST', '/standin', (), content)
            site.record.note(f'i-0 sends bytes without end now, in the {FLOOD}')
        entry = names[number % len(names)]
        tasks.append(asyncio.create_task(ask(site, entry, number, results)))
    await asyncio.gather(*tasks)
    for name in names:
        state = 'ready' if await site.ready(name) else 'does not answer'
        site.record.note(f'{name}: readiness check at the end: {state}')
    await stop(site, entries)
    site.record.note('what the runners noted:')
    for line in runs.read_text().splitlines():
        site.record.note(f'  {line}')
    return judge(site, results)


async def stop(site, entries):
    """Note which entries end within GraceS after SIGTERM; not judged."""
    for process in entries:
        process.terminate()
    end_s = time.monotonic() + STOP_LIMIT_S
    while time.monotonic() < end_s and any(p.poll() is None for p in entries):
        await asyncio.sleep(0.1)
    for name, process in zip(site.entries, entries, strict=True):
        ended = 'has ended' if process.poll() is not None else 'still runs'
        site.record.note(f'{name}: {ended} {STOP_LIMIT_S} s after SIGTERM')


def judge(site, results):
    """Judge the rule CONFIG on requests still unanswered at TimeoutMs."""
    unanswered = [row for row in results if row[1] > TIMEOUT_S]
    late = [row for row in unanswered if row[1] > TIMEOUT_S + LATE_S]
    served = sum(outcome == '200' for _sent, _took, outcome in results)
    site.record.note(
        f'{len(results)} sent, {served} answered 200, {len(unanswered)} '
        f'unanswered at TimeoutMs, {len(late)} of them half a second later'
    )
    return len(late) >= 8 and len(late) > len(unanswered) / 2


site_module.run(FOLDER, play)
