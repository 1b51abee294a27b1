"""All entries restart while another writer's entries lie under servers/."""

import asyncio
import pathlib
import random
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'standins'))

import site_of_review as site_module
import wire

SEED = 43
KEY = 'n2ctnfzs989anu6wsjnb'
RECOVER_S = 12.0
# Time until the platform starts a process again that was killed.
DOWN_S = 1.0
BEFORE_S = 6.0
AFTER_S = 10.0
PER_S = 8.0
CLIENT_LIMIT_MS = 4019
WORK_MS = 90
FOREIGN = 3
# The share of requests that has to be served again.
SERVED_SHARE = 0.25


def unreadable(number):
    """Return bytes that a JSON decoder can't read: they nest too deep."""
    depth = 3000 + number
    return b'{"cells":' + b'[' * depth + b']' * depth + b'}'


async def ask(site, attempt, entry, answers):
    headers = [
        ('Host', site_module.HOST),
        ('X-Camphorstair-Attempt-Id', attempt),
        ('X-Camphorstair-Deadline-Ms', str(CLIENT_LIMIT_MS)),
        ('Authorization', f'Token {KEY}'),
    ]
    try:
        answer = await wire.call(
            site.entries[entry],
            'GET',
            '/lookup/1',
            headers,
            limit_s=CLIENT_LIMIT_MS / 1000,
        )
        outcome = f'{answer.first} {answer.body[:60].decode("latin-1")}'
    except (OSError, wire.Broken, TimeoutError) as error:
        outcome = type(error).__name__
    answers.append(outcome.startswith('200'))
    site.record.note(f'{attempt} at {entry}: {outcome}')


async def traffic(site, label, length_s, generator):
    """Send requests to all entries in turn; return the share served."""
    answers = []
    names = list(site.entries)
    tasks = []
    due_s = site.record.now_s()
    end_s = due_s + length_s
    while due_s < end_s:
        await asyncio.sleep(max(0, due_s - site.record.now_s()))
        attempt = f'{label}-{len(tasks)}'
        entry = names[len(tasks) % len(names)]
        tasks.append(asyncio.create_task(ask(site, attempt, entry, answers)))
        due_s += generator.expovariate(PER_S)
    await asyncio.gather(*tasks)
    share = sum(answers) / len(answers)
    site.record.note(f'{label}: {share:.2f} of {len(answers)} were served')
    return share


async def configure(site, version):
    """Write a configuration; the versions differ in their idle time only."""
    content = site_module.configuration(
        version,
        [site_module.route('lookup', 'idempotent', 'comptoir')],
        [site_module.service('comptoir')],
        {'hule930': [KEY]},
    )
    content['Limits']['IdleTimeoutMs'] = 15000 + version
    await site.put('op/config', content)
    site.record.note(f'ack of configuration {version}')


async def start(site):
    await site.start_store()
    await configure(site, 7)
    runs = site.folder / 'runs.txt'
    for number, zone in enumerate(site_module.ZONES):
        address = site.free(site.address())
        name = f'i-7f3a91c{number}'
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
    return [
        site.start_entry(f'front-{zone}-1', zone) for zone in site_module.ZONES
    ]


async def play(site, trouble):
    entries = await start(site)
    await site.wait_ready()
    await asyncio.sleep(1.5)
    generator = random.Random(SEED)
    for number in range(FOREIGN if trouble else 0):
        await site.put(f'servers/cell-{number}', unreadable(number))
        site.record.note(f'another writer has written servers/cell-{number}')
    before = await traffic(site, 'before', BEFORE_S, generator)
    await configure(site, 9)
    for process in entries:
        process.kill()
    site.record.note('final fault: all entries are killed')
    for process in entries:
        process.wait()
    await asyncio.sleep(DOWN_S)
    hosts = {
        name: address.partition(':')[0]
        for name, address in site.entries.items()
    }
    for (name, host), zone in zip(
        hosts.items(), site_module.ZONES, strict=True
    ):
        site.start_entry(name, zone, host, Bootstrap=False)
    back_s = site.record.now_s()
    await traffic(site, 'recovering', RECOVER_S, generator)
    for name in site.entries:
        state = 'ready' if await site.ready(name) else 'not ready'
        site.record.note(f'{name} says that it is {state}')
    await asyncio.sleep(max(0, back_s + RECOVER_S - site.record.now_s()))
    after = await traffic(site, 'after', AFTER_S, generator)
    return before >= SERVED_SHARE and after < SERVED_SHARE


site_module.run(FOLDER, play)
