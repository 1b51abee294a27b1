"""A runner leaves shortly after a cut between an entry and the store."""

import asyncio
import os
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'standins-2'))

import small_site

# TROUBLE=0 leaves the disruption out.
TROUBLE = os.environ.get('TROUBLE', '1') != '0'

RUNNERS = 3
CUT_S = 5.5
# The runner leaves this long after the end of the cut.
LEAVES_AFTER_S = 1.4
# It serves on for DrainMs and for a little longer.
SERVES_ON_S = 4.0
SENDERS = 8
PAUSE_S = 0.02


async def play(site):
    store = site.store
    runners = [
        await small_site.Runner(store, site.record, 'counter').start()
        for _ in range(RUNNERS)
    ]
    keys = [{'Name': 'yard', 'ApiKeys': ['key-1']}]
    routes = [small_site.route('booking', '/booking/', 'counter')]
    site.configure(3, routes, ['counter'], keys)
    entry = await site.add_entry('front-1')
    await entry.wait_ready()
    sent_s = {}
    stopped = asyncio.Event()

    async def send(sender):
        number = 0
        while not stopped.is_set():
            number += 1
            attempt = f'c{sender}-{number}'
            sent_s[attempt] = time.monotonic()
            site.record.note(f'sent {attempt}')
            status, _body = await small_site.request(
                entry.callers, '/booking/1', key='key-1', attempt=attempt
            )
            site.record.note(f'answered {attempt}: {status}')
            await asyncio.sleep(PAUSE_S)

    senders = [asyncio.ensure_future(send(n)) for n in range(SENDERS)]
    await asyncio.sleep(2)
    if TROUBLE:
        store.cut('front-1')
        site.record.note('front-1 is cut off from the store')
    await asyncio.sleep(CUT_S)
    store.cut_off.clear()
    healed_s = time.monotonic()
    site.record.note('end of the cut')
    await asyncio.sleep(LEAVES_AFTER_S)
    leaver = runners[0]
    gone_s = leaver.leave()
    await asyncio.sleep(SERVES_ON_S)
    stopped.set()
    await asyncio.gather(*senders)
    # The machine is in touch ContactMs after the end of the cut, and bound by
    # DrainMs from the store's ack.
    contact_s = healed_s + small_site.BOUNDS['ContactMs'] / 1000
    drained_s = gone_s + small_site.BOUNDS['DrainMs'] / 1000
    late = [
        attempt
        for ran_s, attempt, _tenant in leaver.ran
        if ran_s > drained_s and sent_s[attempt] > max(contact_s, drained_s)
    ]
    for attempt in late:
        after_s = sent_s[attempt] - gone_s
        site.record.note(f'{attempt} was sent {after_s:.3f} s after the ack')
    site.record.note(f'{len(late)} requests reached the runner too late')
    return bool(late)


small_site.run(play, FOLDER)
