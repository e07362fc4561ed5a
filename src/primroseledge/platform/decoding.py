"""Decode what operators, workers and callers write."""

from msgspec import DecodeError
from msgspec import json
from msgspec import ValidationError

from primroseledge.cluster.fleet_store import Item
from primroseledge.errors import DocumentError
from primroseledge.ids import Boot
from primroseledge.ids import QueueId
from primroseledge.ids import ServiceId
from primroseledge.ids import WorkerId
from primroseledge.ids import WorkspaceId
from primroseledge.ids import ZoneId
from primroseledge.jobs.configuration import AdviceConfig
from primroseledge.jobs.configuration import Configuration
from primroseledge.jobs.configuration import Queue
from primroseledge.jobs.configuration import Service
from primroseledge.jobs.configuration import Workspace
from primroseledge.jobs.resources import Resources
from primroseledge.jobs.spec import find_spec_problem
from primroseledge.jobs.spec import JobSpec
from primroseledge.jobs.spec import StepSpec
from primroseledge.jobs.worker import WorkerEntry
from primroseledge.jobs.worker import WorkerState
from primroseledge.platform.wire import WireConfiguration
from primroseledge.platform.wire import WireJob
from primroseledge.platform.wire import WireQueue
from primroseledge.platform.wire import WireResources
from primroseledge.platform.wire import WireStep
from primroseledge.platform.wire import WireWorkerEntry

WORKER_PREFIX = 'servers/'
WORKER_STATES = {
    'ready': WorkerState.READY,
    'draining': WorkerState.DRAINING,
}


def decode_job(body: bytes) -> JobSpec:
    """Decode a job as handed in; raises DocumentError."""
    try:
        job = json.decode(body, type=WireJob)
    except (DecodeError, ValidationError) as error:
        raise DocumentError(f'not a job: {error}') from error
    spec = JobSpec(
        payload=job.task_spec,
        steps=tuple(to_step(step) for step in job.steps),
        repetitions=job.repetitions,
        first_run_ms=job.first_run_ms,
        interval_ms=job.interval_ms,
    )
    problem = find_spec_problem(spec)
    if problem:
        raise DocumentError(problem)
    return spec


def to_step(step: WireStep) -> StepSpec:
    """Return a step in our own words."""
    return StepSpec(
        count=step.count,
        resources=Resources(step.cpu, step.memory_request_mb, step.gpu),
        estimate_ms=step.estimated_duration_ms,
        after=tuple(step.after),
        saves_checkpoints=step.checkpointing,
        is_gang=step.gang,
        needs_single_rack=step.same_rack,
        required_label=step.requirements,
        data_rack=step.affinity,
        max_per_worker=step.anti_affinity,
        is_speculative=step.speculative,
        is_long_running=step.long_running,
        image=step.image,
        target_ms=step.target_ms,
        is_best_effort=step.fills,
        max_unavailable=step.may_miss,
    )


def decode_configuration(body: bytes) -> Configuration:
    """Decode the operators' configuration; raises DocumentError."""
    try:
        wire = json.decode(body, type=WireConfiguration)
    except (DecodeError, ValidationError) as error:
        raise DocumentError(f'not a configuration: {error}') from error
    return Configuration(
        version=wire.version,
        queues={QueueId(r.name): to_queue(r) for r in wire.routes},
        services={
            ServiceId(s.name): Service(
                ServiceId(s.name), s.admission_check, s.standby
            )
            for s in wire.services
        },
        workspaces={
            WorkspaceId(t.name): Workspace(
                WorkspaceId(t.name),
                frozenset(t.api_keys),
                t.weight,
                to_resources(t.upper_bound),
            )
            for t in wire.tenants
        },
        max_body_bytes=wire.limits.max_body_bytes,
    )


def to_queue(route: WireQueue) -> Queue:
    """Return a queue in our own words."""
    advice = None
    if route.recommendation is not None:
        advice = AdviceConfig(
            route.recommendation.decision_ms / 1000,
            route.recommendation.period_ms / 1000,
            route.recommendation.validity_ms / 1000,
        )
    return Queue(
        id=QueueId(route.name),
        host=route.host,
        prefix=route.prefix,
        service=ServiceId(route.service),
        timeout_s=route.timeout_ms / 1000,
        objective_s=route.target_completion_ms / 1000,
        chain_factor=route.slack_factor,
        priority=route.priority,
        max_attempts=route.max_attempts,
        is_open=route.allow_anonymous,
        advice=advice,
    )


def decode_worker_entry(
    item: Item, services: dict[ServiceId, Service]
) -> WorkerEntry:
    """Decode a worker's entry; raises DocumentError."""
    if item.value is None:
        raise DocumentError('the entry has no value')
    try:
        entry = json.decode(item.value, type=WireWorkerEntry)
    except (DecodeError, ValidationError) as error:
        raise DocumentError(f'not an entry of a worker: {error}') from error
    state = WORKER_STATES.get(entry.state)
    if state is None:
        raise DocumentError(f'no such state: {entry.state!r}')
    if ServiceId(entry.service) not in services:
        raise DocumentError(f'no such service: {entry.service!r}')
    host, colon, port = entry.address.rpartition(':')
    if not (host and colon and port.isdigit()):
        raise DocumentError(f'not an address: {entry.address!r}')
    remaining_ms = entry.remaining_ms
    return WorkerEntry(
        WorkerId(item.key.removeprefix(WORKER_PREFIX)),
        Boot(entry.born),
        ServiceId(entry.service),
        entry.address,
        ZoneId(entry.zone),
        state,
        to_resources(entry.capacity),
        tuple(entry.labels),
        None if remaining_ms is None else remaining_ms / 1000,
    )


def to_resources(amounts: WireResources) -> Resources:
    """Return amounts in our own words."""
    return Resources(amounts.cpu, amounts.memory_request_mb, amounts.gpu)
