"""Metrics of an entry instance on the users' platform.

Decisions are counted from their log events, also those whose lines the
budget drops, so that a page and a log never tell different stories.
"""

from collections.abc import Callable
from logging import Handler
from logging import LogRecord
from typing import Any
from typing import Final

from primroseledge.observability.events import Event
from primroseledge.observability.fleet_figures import FleetFigures
from primroseledge.observability.metrics_page import MetricsPage

CALL_BUCKETS_S: Final = (0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5)
JOB_BUCKETS_S: Final = (0.5, 1.0, 2.0, 3.0, 4.0, 6.0, 10.0, 20.0, 60.0)
TAKEOVER_BUCKETS_S: Final = (0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0)

Fields = dict[str, Any]


class FleetMetrics(MetricsPage):
    """Everything that one entry instance counts and times."""

    def __init__(self) -> None:
        super().__init__()
        self.events = self.counter(
            'events_total', 'Log events, by name; dropped lines count too.'
        )
        self.refusals = self.counter(
            'jobs_refused_total', 'Jobs refused, by reason.'
        )
        self.runs = self.counter(
            'runs_ended_total', 'Runs of tasks that ended, by how.'
        )
        self.worker_ends = self.counter(
            'workers_ended_total',
            'Workers that ended with runs on them, by cause.',
        )
        self.crashes = self.counter(
            'task_crashes_total',
            'Crashes of workers under tasks, by what became of the task.',
        )
        self.copies = self.counter(
            'copies_total',
            'Copies of tasks, by what became of them; all are planned first.',
        )
        self.calls = self.histogram(
            'call_seconds',
            "Callers' requests, by kind and verdict; a done submit is stored.",
            CALL_BUCKETS_S,
        )
        self.store_steps = self.histogram(
            'store_step_seconds',
            'Steps at the store with their retries, by step and result.',
            CALL_BUCKETS_S,
        )
        self.jobs = self.histogram(
            'job_seconds', 'From acceptance to the final state.', JOB_BUCKETS_S
        )
        self.first_starts = self.histogram(
            'first_start_seconds',
            "From a job's acceptance to its first start.",
            JOB_BUCKETS_S,
        )
        self.takeovers = self.histogram(
            'takeover_seconds',
            'From a won claim to deciding about jobs.',
            TAKEOVER_BUCKETS_S,
        )
        self.epoch = self.gauge('epoch', 'Epoch of the owner known here.')
        self.owner = self.gauge('is_owner', 'Whether this is the owner.')
        self.ready = self.gauge('is_ready', 'Whether callers may come.')
        self.version = self.gauge(
            'configuration_version', 'Version in force here.'
        )
        self.open_calls = self.gauge('open_calls', 'Requests in hand.')
        self.active_jobs = self.gauge('active_jobs', 'Jobs not ended yet.')
        self.unstored_jobs = self.gauge(
            'unstored_jobs', 'Jobs with changes that wait to be stored.'
        )
        self.evacuated_zones = self.gauge(
            'evacuated_zones', 'Availability zones in which nothing starts.'
        )
        self.tasks = self.gauge(
            'tasks', 'Tasks by workspace, service and state.'
        )
        self.workers = self.gauge('workers', 'Workers by service and state.')
        self.estimate_errors = self.gauge(
            'estimate_error_factor',
            'Mean factor between runtimes and estimates, by service and '
            'source; 0 until enough runs are known.',
        )

    def call_ended(self, kind: str, verdict: str, took_s: float) -> None:
        """Record a caller's request that got its answer."""
        with self.lock:
            self.calls.observe({'kind': kind, 'verdict': verdict}, took_s)

    def store_step_ended(self, step: str, result: str, took_s: float) -> None:
        """Record a step at the store."""
        with self.lock:
            self.store_steps.observe({'step': step, 'result': result}, took_s)

    def event_logged(self, name: str, number: int, fields: Fields) -> None:
        """Count a log event and what its fields tell."""
        with self.lock:
            self.events.inc({'event': name})
            observe = OBSERVERS.get(number)
            if observe is not None:
                observe(self, fields)

    def publish(self, figures: FleetFigures) -> None:
        """Show what the instance holds now."""
        with self.lock:
            self.epoch.set({}, figures.epoch)
            self.owner.set({}, int(figures.is_owner))
            self.ready.set({}, int(figures.is_ready))
            self.version.set({}, figures.configuration_version)
            self.open_calls.set({}, figures.open_calls)
            self.active_jobs.set({}, figures.active_jobs)
            self.unstored_jobs.set({}, figures.unstored_jobs)
            self.evacuated_zones.set({}, figures.evacuated_zones)
            self.publish_owned(figures)

    def publish_owned(self, figures: FleetFigures) -> None:
        """Show the owner's tasks and workers; what is gone becomes zero."""
        for gauge in (self.tasks, self.workers, self.estimate_errors):
            for labels, _ in gauge.get_all():
                gauge.set(labels, 0)
        for count in figures.tasks:
            labels = {
                'workspace': count.workspace,
                'service': count.service,
                'state': count.state,
            }
            self.tasks.set(labels, count.tasks)
        for held in figures.workers:
            labels = {'service': held.service, 'state': held.state}
            self.workers.set(labels, held.workers)
        for error in figures.estimate_errors:
            labels = {'service': error.service, 'source': error.source}
            self.estimate_errors.set(labels, error.factor)


Observer = Callable[[FleetMetrics, Fields], None]
OBSERVERS: Final[dict[int, Observer]] = {}


def observes(event: Event) -> Callable[[Observer], Observer]:
    """Register what an event adds beside its count."""

    def register(observer: Observer) -> Observer:
        OBSERVERS[event.value.number] = observer
        return observer

    return register


@observes(Event.JOB_REFUSED)
def count_refusal(metrics: FleetMetrics, fields: Fields) -> None:
    """Count a refused job by its reason."""
    metrics.refusals.inc({'reason': str(fields['reason'])})


@observes(Event.RUN_ENDED)
def count_run(metrics: FleetMetrics, fields: Fields) -> None:
    """Count the end of a run by how it ended."""
    metrics.runs.inc({'how': str(fields['how'])})


@observes(Event.WORKER_ENDED)
def count_worker_end(metrics: FleetMetrics, fields: Fields) -> None:
    """Count a worker that ended with runs on it, by the cause."""
    metrics.worker_ends.inc({'cause': str(fields['cause'])})


@observes(Event.TASK_SUSPECTED)
def count_suspected_task(metrics: FleetMetrics, fields: Fields) -> None:
    """Count a crash that is held against a task."""
    metrics.crashes.inc({'outcome': 'suspected'})


@observes(Event.TASK_GIVEN_UP)
def count_given_up_task(metrics: FleetMetrics, fields: Fields) -> None:
    """Count a task that is given up as it crashed its workers."""
    metrics.crashes.inc({'outcome': 'given_up'})


@observes(Event.TASK_CLEARED)
def count_cleared_task(metrics: FleetMetrics, fields: Fields) -> None:
    """Count a task that did not crash its next worker."""
    metrics.crashes.inc({'outcome': 'cleared'})


@observes(Event.COPY_PLANNED)
def count_planned_copy(metrics: FleetMetrics, fields: Fields) -> None:
    """Count a copy whose start was decided."""
    metrics.copies.inc({'outcome': 'planned'})


@observes(Event.COPY_WON)
def count_won_copy(metrics: FleetMetrics, fields: Fields) -> None:
    """Count a copy that completed its task."""
    metrics.copies.inc({'outcome': 'won'})


@observes(Event.COPY_LOST)
def count_lost_copy(metrics: FleetMetrics, fields: Fields) -> None:
    """Count a copy whose task was completed by its first run."""
    metrics.copies.inc({'outcome': 'lost'})


@observes(Event.COPY_CONTINUES)
def count_continuing_copy(metrics: FleetMetrics, fields: Fields) -> None:
    """Count a copy that became the only run of its task."""
    metrics.copies.inc({'outcome': 'continues'})


@observes(Event.COPY_ENDED)
def count_ended_copy(metrics: FleetMetrics, fields: Fields) -> None:
    """Count a copy that failed or was stopped while its task ran."""
    metrics.copies.inc({'outcome': 'ended'})


@observes(Event.JOB_ENDED)
def time_job(metrics: FleetMetrics, fields: Fields) -> None:
    """Time a job until its final state."""
    metrics.jobs.observe({'state': fields['state']}, fields['seconds'])


@observes(Event.JOB_STARTED)
def time_first_start(metrics: FleetMetrics, fields: Fields) -> None:
    """Time a job until its first start."""
    metrics.first_starts.observe({}, fields['seconds'])


@observes(Event.JOBS_RESTORED)
def time_takeover(metrics: FleetMetrics, fields: Fields) -> None:
    """Time a new owner's way to its first decision."""
    metrics.takeovers.observe({}, fields['seconds'])


class EventCounter(Handler):
    """Counts every event that is logged."""

    def __init__(self, metrics: FleetMetrics) -> None:
        super().__init__()
        self.metrics = metrics

    def emit(self, record: LogRecord) -> None:
        """Count a record of the catalogue."""
        number = getattr(record, 'event', 0)
        name = getattr(record, 'event_name', 'library')
        fields = getattr(record, 'event_fields', {})
        self.metrics.event_logged(name, number, fields)


def create_fleet_metrics() -> FleetMetrics:
    """Return metrics with all counters at zero."""
    return FleetMetrics()
