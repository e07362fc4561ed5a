"""Decoders of documents from operators, workers and callers.

They turn the platform's JSON into the types of ``primroseledge.jobs``.
"""

from re import ASCII
from re import compile as compile_pattern
from typing import Final

from msgspec import json

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
from primroseledge.platform.wire import MALFORMED_ERRORS
from primroseledge.platform.wire import WireConfiguration
from primroseledge.platform.wire import WireJob
from primroseledge.platform.wire import WireQueue
from primroseledge.platform.wire import WireResources
from primroseledge.platform.wire import WireStep
from primroseledge.platform.wire import WireWorkerEntry
from primroseledge.workers.worker import WorkerEntry
from primroseledge.workers.worker import WorkerState

WORKER_PREFIX = 'servers/'
WORKER_STATES = {
    'ready': WorkerState.READY,
    'draining': WorkerState.DRAINING,
}
MAX_PORT: Final = 65535
ADDRESS_PATTERN: Final = compile_pattern(
    r'([\w.-]{1,253}|\[?[0-9A-Fa-f:.]{2,45}\]?):(?P<port>\d{1,5})', ASCII
)
"""A host name, an IPv4 or IPv6 address, and a port."""

WORKER_ID_PATTERN: Final = compile_pattern('[!-~]+')
"""What a header of a call to the worker holds unchanged."""


def decode_job(body: bytes) -> JobSpec:
    """Decode the body of a caller's job submission.

    Raises DocumentError if it is malformed or its steps are invalid; the
    caller is shown the message.
    """
    try:
        job = json.decode(body, type=WireJob)
    except MALFORMED_ERRORS as error:
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
    """Convert a step of a submitted job to its specification."""
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
    """Decode the configuration document that operators store.

    Raises DocumentError if it is malformed.
    """
    try:
        wire = json.decode(body, type=WireConfiguration)
    except MALFORMED_ERRORS as error:
        raise DocumentError(
            f'invalid configuration document: {error}'
        ) from error
    return Configuration(
        version=wire.version,
        queues={QueueId(queue.name): to_queue(queue) for queue in wire.routes},
        services={
            ServiceId(service.name): Service(
                ServiceId(service.name),
                service.admission_check,
                service.standby,
            )
            for service in wire.services
        },
        workspaces={
            WorkspaceId(workspace.name): Workspace(
                WorkspaceId(workspace.name),
                frozenset(workspace.api_keys),
                workspace.weight,
                to_resources(workspace.upper_bound),
            )
            for workspace in wire.tenants
        },
        max_body_bytes=wire.limits.max_body_bytes,
    )


def to_queue(wire_queue: WireQueue) -> Queue:
    """Convert a queue of the configuration.

    Durations become seconds. A queue without a ``recommendation`` does
    not use the advisory service.
    """
    advice = None
    if wire_queue.recommendation is not None:
        advice = AdviceConfig(
            wire_queue.recommendation.decision_ms / 1000,
            wire_queue.recommendation.period_ms / 1000,
            wire_queue.recommendation.validity_ms / 1000,
        )
    return Queue(
        id=QueueId(wire_queue.name),
        host=wire_queue.host,
        prefix=wire_queue.prefix,
        service=ServiceId(wire_queue.service),
        timeout_s=wire_queue.timeout_ms / 1000,
        objective_s=wire_queue.target_completion_ms / 1000,
        chain_factor=wire_queue.slack_factor,
        priority=wire_queue.priority,
        max_attempts=wire_queue.max_attempts,
        is_open=wire_queue.allow_anonymous,
        advice=advice,
    )


def decode_worker_entry(
    item: Item, services: dict[ServiceId, Service]
) -> WorkerEntry:
    """Decode the entry that a worker keeps in the store.

    Raises DocumentError if it is malformed or names a service that is not
    one of ``services``.
    """
    if item.value is None:
        raise DocumentError('the worker entry has no value')
    try:
        entry = json.decode(item.value, type=WireWorkerEntry)
    except MALFORMED_ERRORS as error:
        raise DocumentError(f'invalid worker entry: {error}') from error
    state = WORKER_STATES.get(entry.state)
    if state is None:
        raise DocumentError(f'unknown worker state: {entry.state!r}')
    if ServiceId(entry.service) not in services:
        raise DocumentError(f'unknown service: {entry.service!r}')
    check_address(entry.address)
    worker_id = item.key.removeprefix(WORKER_PREFIX)
    if not WORKER_ID_PATTERN.fullmatch(worker_id):
        raise DocumentError(f'no header holds the worker id {worker_id!a}')
    remaining_ms = entry.remaining_ms
    return WorkerEntry(
        WorkerId(worker_id),
        Boot(entry.born),
        ServiceId(entry.service),
        entry.address,
        ZoneId(entry.zone),
        state,
        to_resources(entry.capacity),
        tuple(entry.labels),
        None if remaining_ms is None else remaining_ms / 1000,
        item.revision,
    )


def decode_worker_zone(item: Item) -> ZoneId:
    """Decode the zone in a worker's entry, whatever its service and state.

    Raises DocumentError if the entry is malformed.
    """
    try:
        entry = json.decode(item.value or b'', type=WireWorkerEntry)
    except MALFORMED_ERRORS as error:
        raise DocumentError(f'invalid worker entry: {error}') from error
    return ZoneId(entry.zone)


def check_address(address: str) -> None:
    """Raise DocumentError unless an address is HOST:PORT."""
    match = ADDRESS_PATTERN.fullmatch(address)
    if match is None or not 0 < int(match['port']) <= MAX_PORT:
        raise DocumentError(f'worker address is not HOST:PORT: {address!a}')


def to_resources(wire: WireResources) -> Resources:
    """Convert amounts of processor, memory and accelerators."""
    return Resources(wire.cpu, wire.memory_request_mb, wire.gpu)
