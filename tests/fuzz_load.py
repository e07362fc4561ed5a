"""The configuration, workers and jobs of the randomized tests of a fleet."""

from random import Random

from primroseledge.ids import Boot
from primroseledge.ids import JobId
from primroseledge.ids import QueueId
from primroseledge.ids import ServiceId
from primroseledge.ids import WorkerId
from primroseledge.ids import WorkspaceId
from primroseledge.jobs.configuration import Configuration
from primroseledge.jobs.configuration import Queue
from primroseledge.jobs.configuration import Service
from primroseledge.jobs.configuration import Workspace
from primroseledge.jobs.resources import Resources
from primroseledge.jobs.spec import AcceptedJob
from primroseledge.jobs.spec import JobSpec
from primroseledge.jobs.spec import StepSpec
from standins.worker_core import SimWorker
from tests.fleet_rule_checker import FleetRuleChecker

MAX_ATTEMPTS = 3
SERVICES = (ServiceId('copper'), ServiceId('iron'))
LIMIT = Resources(40000, 0, 0)


def make_configuration() -> Configuration:
    return Configuration(
        version=1,
        queues={
            QueueId(f'q-{service}'): Queue(
                QueueId(f'q-{service}'),
                'host',
                f'/{service}/',
                service,
                max_attempts=MAX_ATTEMPTS,
                chain_factor=1.6,
                objective_s=0.6,
            )
            for service in SERVICES
        },
        services={service: Service(service) for service in SERVICES},
        workspaces={
            WorkspaceId('small'): Workspace(
                WorkspaceId('small'), frozenset('a'), 1.0, LIMIT
            ),
            WorkspaceId('large'): Workspace(
                WorkspaceId('large'), frozenset('b')
            ),
        },
    )


def make_workers(
    random: Random, rule_checker: FleetRuleChecker
) -> list[SimWorker]:
    return [
        SimWorker(
            rule_checker,
            WorkerId(f'w-{service}-{number}'),
            service,
            Resources(16000, 64000, 0),
            ('a', f'rack-{number % 2}'),
            Boot(900_000 + number),
            900.0,
            random.uniform(0.98, 1.0),
        )
        for service in SERVICES
        for number in range(4)
    ]


def make_job(random: Random, number: int, now: float) -> AcceptedJob:
    is_long_running = random.random() < 0.06
    steps = []
    for index in range(1 if is_long_running else random.randint(1, 3)):
        steps.append(
            StepSpec(
                count=random.randint(1, 2 if is_long_running else 6),
                resources=Resources(
                    random.randint(500, 1000 if is_long_running else 4000),
                    500,
                    0,
                ),
                estimate_ms=random.randint(200, 2500),
                after=(index - 1,) if index else (),
                is_long_running=is_long_running,
                max_unavailable=1 if is_long_running else 0,
            )
        )
    return AcceptedJob(
        id=JobId(f'{number:016x}'),
        queue=QueueId(f'q-{random.choice(SERVICES)}'),
        workspace=WorkspaceId(
            'large' if is_long_running else random.choice(('small', 'large'))
        ),
        accepted_ms=int(now * 1000),
        spec=JobSpec(payload=f'payload {number}', steps=tuple(steps)),
    )
