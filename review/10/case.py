"""A wave is said to be completed before the upkeep of its machine begins.

The site has no standby pool, so the owner reads the list of instances only
while a wave is under way. A machine that joined since then is not in the
list that it knows, and it takes a wave of such machines to be complete.
"""

from base64 import b64decode
import json
from pathlib import Path
import sys
import time
from typing import Any

from review.standins_2.site import call
from review.standins_2.site import is_troubled
from review.standins_2.site import main
from review.standins_2.site import NotRunError
from review.standins_2.site import POOL
from review.standins_2.site import route
from review.standins_2.site import Site

MACHINES = {f'm-{number}': f'w-{number}' for number in range(1, 9)}
UPKEEP_S = 2.0
REST_S = 5.0
WAVE_S = 25.0


def row_of(machine: str, worker: str, rack: str) -> dict[str, Any]:
    """Return a machine's row in the list of instances."""
    return {
        'machine': machine,
        'pool': POOL,
        'state': 'up',
        'zone': 'north-1',
        'labels': ['a', rack],
        'capacity': {'cpu': 16000, 'memory_request_mb': 65536, 'gpu': 0},
        'id': worker,
    }


def read_key(site: Site, key: str) -> str:
    """Return an item of the store as it is stored, '' without one."""
    path = f'/-/kv-key?key={key}'
    status, answer = call(site.store_port, 'GET', path, None)
    return str(answer.get('value', '')) if status == 200 else ''


def state_of(site: Site, wave: int) -> str:
    """Return the state of a wave, as the operator reads it."""
    value = read_key(site, f'status/wave/{wave}')
    return json.loads(b64decode(value))['state'] if value else ''


def request_wave(site: Site, wave: int, machine: str) -> None:
    """Request upkeep of one machine, as the operator does."""
    value = {
        'wave': wave,
        'machines': [machine],
        'duration_s': 20,
        'upper_bound': 1,
    }
    body = json.dumps({'key': f'op/wave/{wave}', 'value': value})
    call(site.store_port, 'POST', '/-/write', body)
    site.record.note(f'wave {wave} of {machine} is acknowledged')


def has_begun(site: Site, wave: int) -> bool:
    """Return whether the upkeep of a wave's machine has begun."""
    return any(
        line['what'] == 'upkeep' and line['wave'] == wave
        for line in site.seen_by_services()
    )


def play_wave(site: Site, wave: int, machine: str, worker: str) -> str:
    """Play a wave of one machine; return how the rule was broken, or ''."""
    request_wave(site, wave, machine)
    until = time.monotonic() + WAVE_S
    is_down = False
    while time.monotonic() < until:
        if has_begun(site, wave) and not is_down:
            is_down = True
            site.kill_worker(worker)
            time.sleep(UPKEEP_S)
            site.start_worker(f'{worker}-again')
            row = row_of(machine, f'{worker}-again', 'rack-1')
            site.control_services(rows=[row])
        if state_of(site, wave) == 'completed':
            site.record.note(f'status/wave/{wave} says completed')
            if has_begun(site, wave):
                return ''
            time.sleep(REST_S)
            if not has_begun(site, wave):
                return (
                    f'MIXED: wave {wave} is said to be completed, and the '
                    f'upkeep of {machine} has not begun'
                )
            return f'MIXED: the upkeep of {machine} began later'
        time.sleep(0.05)
    site.record.note(f'wave {wave} is not completed in {WAVE_S} s')
    return ''


def case(site: Site) -> str | None:
    """Replace a machine between two waves."""
    rows = [row_of(m, w, 'rack-1') for m, w in MACHINES.items()]
    site.start_services({'machines': rows})
    site.configure([route()])
    for worker in MACHINES.values():
        site.start_worker(worker)
    site.start_entries(3)
    site.wait_until_ready()
    time.sleep(2)
    if play_wave(site, 1, 'm-1', 'w-1') or state_of(site, 1) != 'completed':
        raise NotRunError('the first wave was not carried out')
    time.sleep(REST_S)
    machine, worker = 'm-2', 'w-2'
    if is_troubled():
        site.kill_worker(worker)
        machine, worker = 'm-9', 'w-9'
        site.start_worker(worker)
        row = row_of(machine, worker, 'rack-1')
        site.control_services(gone=['m-2'], rows=[row])
        time.sleep(REST_S)
    return play_wave(site, 2, machine, worker) or None


if __name__ == '__main__':
    sys.exit(main(case, Path(__file__).resolve().parent))
