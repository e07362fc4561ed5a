"""Learn how long tasks really run, compared with their callers' estimates.

Estimates are rough, and wrong in the same way for all tasks of one kind: of
one workspace, image and size. The ratios of real to estimated times of the
last runs of a kind correct the estimates of its next tasks.
"""

import collections
from collections.abc import Sequence
from dataclasses import dataclass
from dataclasses import field
from math import ceil
from typing import Final
from typing import NamedTuple

from primroseledge.ids import QueueId
from primroseledge.ids import ServiceId
from primroseledge.ids import WorkspaceId
from primroseledge.jobs.job import DEFAULT_ESTIMATE_MS
from primroseledge.jobs.spec import AcceptedJob
from primroseledge.jobs.spec import StepSpec

MIN_RUNS: Final = 5
"""Number of runs of a key from which on their ratios are used."""

MAX_RUNS: Final = 64
"""Number of the last runs of a key that are kept."""

MAX_KEYS: Final = 512

MIN_RATIO: Final = 0.25
MAX_RATIO: Final = 8.0
"""Bounds of the ratio, so that a wrong one changes no decision by more."""

MAX_AGE_S: Final = 600.0
"""Time in s after the last run of a key from which on it is not used."""

HIGH_QUANTILE: Final = 0.9

REPORTED_CHANGE: Final = 1.25
"""Factor by which a median changes before it is reported again."""

ERROR_WEIGHT: Final = 0.02
"""Weight of the newest run in the mean errors of a service's estimates."""


class RuntimeKey(NamedTuple):
    """The kind of a task; tasks of one kind are expected to behave alike.

    ``queue`` is empty if the step has an image. ``size`` is the number of
    bits of the task's thousandths of a processor, so that sizes within a
    factor of two are one.
    """

    workspace: WorkspaceId
    image: str
    queue: QueueId
    size: int


def is_learned(step: StepSpec) -> bool:
    """Return whether a step's runtimes are learned and its estimate corrected.

    By its image or by allowing copies, a step states that tasks of its kind
    behave alike. The runtime of a long-running task tells nothing of the next
    one's, and a best-effort task is slowed by others.
    """
    if step.is_long_running or step.is_best_effort:
        return False
    return bool(step.image) or step.is_speculative


def runtime_key_of(step: StepSpec, job: AcceptedJob) -> RuntimeKey:
    """Return the key under which the runtimes of a job's step are learned."""
    queue = QueueId('') if step.image else job.queue
    size = step.resources.cpu_millis.bit_length()
    return RuntimeKey(job.workspace, step.image, queue, size)


@dataclass(slots=True)
class RatioDistribution:
    """The ratios of real to estimated times of a key's last runs.

    ``median`` and ``high_quantile`` are those of ``ratios``; ``updated_at``
    is when the last one was added, ``reported_median`` the last median that
    ``take_report`` returned, or None.
    """

    ratios: collections.deque[float] = field(
        default_factory=lambda: collections.deque(maxlen=MAX_RUNS)
    )
    median: float = 1.0
    high_quantile: float = 1.0
    updated_at: float = 0.0
    reported_median: float | None = None

    def add(self, ratio: float, now: float) -> None:
        """Add the ratio of one run."""
        self.ratios.append(min(MAX_RATIO, max(MIN_RATIO, ratio)))
        ordered = sorted(self.ratios)
        self.median = quantile(ordered, 0.5)
        self.high_quantile = quantile(ordered, HIGH_QUANTILE)
        self.updated_at = now

    def is_usable(self, now: float) -> bool:
        """Return whether there are enough ratios, and not too old ones."""
        is_recent = now <= self.updated_at + MAX_AGE_S
        return len(self.ratios) >= MIN_RUNS and is_recent

    def take_report(self) -> bool:
        """Return whether the median is to be reported, and count it as done.

        It is once there are enough runs, and then when it has changed by the
        factor ``REPORTED_CHANGE``.
        """
        if len(self.ratios) < MIN_RUNS:
            return False
        last = self.reported_median
        if last is not None:
            change = max(self.median / last, last / self.median)
            if change < REPORTED_CHANGE:
                return False
        self.reported_median = self.median
        return True


@dataclass(slots=True)
class EstimateErrors:
    """By what mean factor the runs of a service differed from estimates.

    1 means no difference. Both means are over the same runs, those for which
    a learned ratio was known.
    """

    caller: float = 1.0
    learned: float = 1.0
    is_known: bool = False

    def add(self, caller: float, learned: float) -> None:
        """Add the error factors of one run."""
        weight = ERROR_WEIGHT if self.is_known else 1.0
        self.caller += weight * (caller - self.caller)
        self.learned += weight * (learned - self.learned)
        self.is_known = True


@dataclass(slots=True)
class Runtimes:
    """What is known of the runtimes of all kinds of tasks.

    ``keys`` holds for each workspace its keys in the order in which they were
    last recorded. ``errors`` are those of each service's estimates.
    """

    keys: dict[
        WorkspaceId, collections.OrderedDict[RuntimeKey, RatioDistribution]
    ] = field(default_factory=dict)
    key_count: int = 0
    errors: dict[ServiceId, EstimateErrors] = field(default_factory=dict)

    def find(
        self, step: StepSpec, job: AcceptedJob, now: float
    ) -> RatioDistribution | None:
        """Return the usable distribution of a job's step, or None."""
        if not is_learned(step):
            return None
        of_workspace = self.keys.get(job.workspace)
        if of_workspace is None:
            return None
        distribution = of_workspace.get(runtime_key_of(step, job))
        if distribution is None or not distribution.is_usable(now):
            return None
        return distribution

    def estimate_ms(self, step: StepSpec, job: AcceptedJob, now: float) -> int:
        """Return the expected runtime of a task of a job's step, in ms.

        It is the caller's estimate, which is 0 if there is none, until enough
        runs of the step's kind are known.
        """
        distribution = self.find(step, job, now)
        if distribution is None:
            return step.estimate_ms
        return corrected_ms(step, distribution.median)

    def quantile_ms(self, step: StepSpec, job: AcceptedJob, now: float) -> int:
        """Return the 0.9 quantile of a task's runtime, in ms.

        Like ``estimate_ms`` it is the caller's estimate until enough runs of
        the step's kind are known.
        """
        distribution = self.find(step, job, now)
        if distribution is None:
            return step.estimate_ms
        return corrected_ms(step, distribution.high_quantile)

    def estimates_ms(self, job: AcceptedJob, now: float) -> list[int]:
        """Return ``estimate_ms`` of all steps of a job, in their order."""
        return [self.estimate_ms(step, job, now) for step in job.spec.steps]

    def record(
        self,
        step: StepSpec,
        job: AcceptedJob,
        service: ServiceId,
        actual_ms: float,
        now: float,
    ) -> RatioDistribution:
        """Record the runtime of a run that ended as done.

        Returns the distribution of the step's key with this run.
        """
        if self.find(step, job, now) is not None:
            self.errors.setdefault(service, EstimateErrors()).add(
                error_factor(actual_ms, given_estimate_ms(step)),
                error_factor(actual_ms, self.estimate_ms(step, job, now)),
            )
        key = runtime_key_of(step, job)
        distribution = self.distribution_to_update(key)
        distribution.add(actual_ms / given_estimate_ms(step), now)
        return distribution

    def distribution_to_update(self, key: RuntimeKey) -> RatioDistribution:
        """Return the distribution of a key as the last recorded one.

        It is created if it is missing, in place of another beyond
        ``MAX_KEYS``.
        """
        of_workspace = self.keys.setdefault(
            key.workspace, collections.OrderedDict()
        )
        distribution = of_workspace.get(key)
        if distribution is not None:
            of_workspace.move_to_end(key)
            return distribution
        distribution = of_workspace[key] = RatioDistribution()
        self.key_count += 1
        if self.key_count > MAX_KEYS:
            self.evict()
        return distribution

    def evict(self) -> None:
        """Remove the least recently recorded key of the largest holder.

        The holder is the workspace with the most keys: one with many kinds of
        tasks must not evict what is known of the others'.
        """
        workspace = max(self.keys, key=lambda id: len(self.keys[id]))
        of_workspace = self.keys[workspace]
        of_workspace.popitem(last=False)
        self.key_count -= 1
        if not of_workspace:
            del self.keys[workspace]


def given_estimate_ms(step: StepSpec) -> int:
    """Return the caller's estimate in ms, or the default without one."""
    return step.estimate_ms or DEFAULT_ESTIMATE_MS


def corrected_ms(step: StepSpec, ratio: float) -> int:
    """Return the caller's estimate multiplied by a learned ratio, in ms."""
    return max(1, round(given_estimate_ms(step) * ratio))


def error_factor(actual_ms: float, estimate_ms: int) -> float:
    """Return by what factor an estimate was too low or too high, from 1 on.

    It is bounded as the learned ratios are.
    """
    ratio = max(1.0, actual_ms) / max(1, estimate_ms)
    return min(MAX_RATIO, max(ratio, 1 / ratio))


def quantile(ordered: Sequence[float], share: float) -> float:
    """Return the smallest value that a share of all values doesn't exceed."""
    return ordered[max(0, ceil(share * len(ordered)) - 1)]
