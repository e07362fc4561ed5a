"""A rack falls silent just before jobs for its machines are handed in."""

import asyncio

from standins.fleet import CannotRunError
from standins.fleet import create_config
from standins.fleet import Fleet
from standins.fleet import main

SERVICE = 'scan-desk'
KINDS = ['b'] * 4 + ['a'] * 4
JOBS = 8
DARK_S = 7.0
COUNTED_AFTER_S = 5.3
"""Time from the last acceptance to the counts; the rule says 5 s."""

WARM_UP = '000000000000000f'
STEP = {
    'cpu': 1000,
    'memory_request_mb': 256,
    'estimated_duration_ms': 500,
    'requirements': 'b',
}
SPEC = {'ms': 500}


async def play(fleet: Fleet) -> str:
    """Hand jobs in as the rack falls silent; count them 5 s later."""
    await fleet.start_platform()
    fleet.configure(create_config(SERVICE, max_attempts=2))
    await fleet.start_workers(SERVICE, KINDS)
    fleet.start_entries()
    await fleet.wait_until_ready()
    await asyncio.sleep(1.0)
    await hand_in(fleet, WARM_UP, 8, 0)
    await asyncio.sleep(2.0)
    rack = [w for w in fleet.workers.values() if 'b' in w.labels]
    if fleet.has_trouble:
        for worker in rack:
            worker.crash_dark()
    went_dark_at = fleet.now
    for number in range(JOBS):
        await hand_in(fleet, f'{number:016x}', 1, number % 3)
    await asyncio.sleep(COUNTED_AFTER_S)
    counts = await count_pending(fleet)
    unbegun = JOBS - count_begun(fleet)
    await asyncio.sleep(max(0.0, went_dark_at + DARK_S - fleet.now))
    if fleet.has_trouble:
        for worker in rack:
            worker.begin_again()
    await asyncio.sleep(8.0)
    for number in range(JOBS):
        await fleet.ask('GET', f'{number:016x}', entry=number % 3)
    if any(2 * count < unbegun for count in counts):
        return (
            f'MIXED: {unbegun} jobs accepted over 5 s before have not '
            f'begun, and the nodes give {counts} as pending'
        )
    return ''


async def hand_in(fleet: Fleet, job: str, count: int, entry: int) -> None:
    """Hand a job with some work items in; it must be taken."""
    if not await fleet.submit(job, [{**STEP, 'count': count}], SPEC, entry):
        raise CannotRunError('a job was not taken')


async def count_pending(fleet: Fleet) -> list[int]:
    """Return the count of pending jobs that each node gives."""
    counts = []
    for entry in range(len(fleet.addresses)):
        status, fields = await fleet.ask('GET', '', entry=entry)
        if status == 200:
            counts.append(fields['pending'])
    return counts


def count_begun(fleet: Fleet) -> int:
    """Return how many of the counted jobs a worker has begun."""
    jobs = {f'{number:016x}' for number in range(JOBS)}
    starts = fleet.record.find('run-starts')
    return len(jobs & {fields['task'].split('.')[0] for _, fields in starts})


if __name__ == '__main__':
    main(play, __file__)
