"""A lasting work item of an advised queue is never started again.

Its worker, the only one of its kind, is lost for good, and a new worker of
that kind joins. The owner gets tickets for workers of the other kind and takes
them for enough, so it asks the advisory service about no other worker.
"""

from pathlib import Path
import sys
import time

from review.standins_2.site import is_troubled
from review.standins_2.site import main
from review.standins_2.site import NotRunError
from review.standins_2.site import route
from review.standins_2.site import Site

JOB = '0000000000000901'
AT_WORK_S = 5.0
"""The work item has been at work for so long when its worker is lost."""

DOWN_S = 6.0
STILL_S = 3.0
"""By LOST: for 3 s, from 6 s after the last run of the work item."""

WATCHED_S = 30.0
ADVICE = {'decision_ms': 20, 'period_ms': 5, 'validity_ms': 3000}
KINDS = {'w-1': 'b'} | {f'w-{number}': 'a' for number in range(2, 9)}
BODY = {
    'task_spec': (
        '{"seconds": null, "cpu": 2000, "memory": 512, "ticket": true}'
    ),
    'steps': [
        {
            'count': 1,
            'cpu': 2000,
            'memory_request_mb': 512,
            'estimated_duration_ms': 1000,
            'long_running': True,
            'requirements': 'b',
        }
    ],
}


def case(site: Site) -> str | None:
    """Lose the worker, and watch for the next start of the work item."""
    allowed = [*KINDS, 'w-9']
    port = site.start_services({'machines': [], 'allowed': allowed, **ADVICE})
    site.configure([route(recommendation=ADVICE)])
    for number, (worker, kind) in enumerate(KINDS.items()):
        site.start_worker(worker, labels=f'{kind},rack-{number % 2}')
    site.start_entries(3, advice_address=f'127.0.0.1:{port}')
    site.wait_until_ready()
    time.sleep(2)
    status, _ = site.request('POST', JOB, BODY)
    if status != 200:
        raise NotRunError('the job was not accepted')
    if not site.wait_for('a start', lambda: site.starts_of(JOB), 10):
        raise NotRunError('the job did not start at first')
    time.sleep(AT_WORK_S)
    if is_troubled():
        site.kill_worker('w-1')
    lost_at = time.monotonic()
    site.start_worker('w-9', labels='b,rack-0')
    joined_at = time.monotonic()
    again = site.wait_for(
        'another start', lambda: site.starts_of(JOB)[1:], WATCHED_S
    )
    site.request('GET', JOB)
    if not is_troubled():
        return 'the work item started again' if again else None
    due_at = max(lost_at + DOWN_S, joined_at + 1.0) + STILL_S
    if again and again[0]['at'] <= due_at:
        return None
    since_s = (again[0]['at'] if again else time.monotonic()) - lost_at
    return f'LOST: nothing of the work item has run for {since_s:.1f} s'


if __name__ == '__main__':
    sys.exit(main(case, Path(__file__).resolve().parent))
