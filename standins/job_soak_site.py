"""The sizes, queues and configuration of a soak on the job path."""

from dataclasses import dataclass
from typing import Any
from typing import Final

from standins.job_soak_plan import JobQueue

POOLS: Final = ('copper', 'iron')
UNGUARDED_POOL: Final = 'iron'
"""Its workers start whatever they are told to."""

STANDBY_POOL: Final = 'spare'
WORKSPACES: Final = ('sales', 'yards')
MAX_ATTEMPTS: Final = 3


@dataclass(frozen=True, slots=True)
class Scale:
    """How many processes of each kind there are."""

    entries: int
    workers_per_pool: int
    standby_workers: int
    jobs_per_s: float


SCALES: Final = {
    'small': Scale(
        entries=3, workers_per_pool=4, standby_workers=2, jobs_per_s=3.0
    ),
    'large': Scale(
        entries=6, workers_per_pool=12, standby_workers=6, jobs_per_s=8.0
    ),
}


def create_queues() -> list[JobQueue]:
    """Return the queues: one of each workspace and pool."""
    return [
        JobQueue(
            pool,
            f'{pool}.example',
            f'/{pool}/',
            f'{workspace}-key',
            workspace,
            MAX_ATTEMPTS,
        )
        for pool in POOLS
        for workspace in WORKSPACES
    ]


def create_configuration(version: int) -> dict[str, Any]:
    """Return the configuration: a queue and a pool of each kind."""
    return {
        'version': version,
        'routes': [
            {
                'name': f'queue-{pool}',
                'host': f'{pool}.example',
                'prefix': f'/{pool}/',
                'service': pool,
                'timeout_ms': 3000,
                'target_completion_ms': 600,
                'slack_factor': 1.6,
                'max_attempts': MAX_ATTEMPTS,
            }
            for pool in POOLS
        ],
        'services': [
            *(
                {'name': pool, 'admission_check': pool != UNGUARDED_POOL}
                for pool in POOLS
            ),
            {'name': STANDBY_POOL, 'standby': True},
        ],
        'tenants': [
            {'name': name, 'api_keys': [f'{name}-key'], 'weight': 100}
            for name in WORKSPACES
        ],
        'limits': {'max_body_bytes': 262144},
    }
