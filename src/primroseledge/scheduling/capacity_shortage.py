"""Bound the time that a planning pass spends on steps that do not fit.

A step that can't be placed costs a look at every worker. While a service has
no free capacity, most steps are seen not to fit without such a look. Where
many don't fit because of their own rules, each of them has its turn within a
few passes, so that no step waits behind others although it fits.
"""

from collections.abc import Iterable
from typing import Final

from primroseledge.jobs.job import StepOccurrence
from primroseledge.jobs.resources import Resources
from primroseledge.jobs.spec import StepSpec
from primroseledge.workers.worker import Worker

MAX_UNPLACED_STEPS: Final = 12
"""Number of unplaced steps of a kind that a pass tries in their order.

The kinds are long-running and batch steps. As many more are tried by turns.
Steps that wait for something else, such as their workspace's limit, don't
count.
"""

MAX_EXCLUDED_SHARE: Final = 0.25
"""Largest share of workers kept free for long-running tasks; at least one."""


class CapacityShortage:
    """What could not be placed in one planning pass.

    ``unplaced`` counts the steps that were tried in vain, for batch (False)
    and long-running steps (True). ``unplaceable`` are the least resources for
    which no worker with a label has capacity; without a label they hold for
    all workers. ``most_free`` has the largest free amount of each resource at
    the begin of the pass. ``excluded`` workers are kept free, of at most
    ``max_excluded``.
    """

    def __init__(self, workers: list[Worker]) -> None:
        self.max_excluded = max(1, int(len(workers) * MAX_EXCLUDED_SHARE))
        self.excluded = 0
        self.unplaced = {False: 0, True: 0}
        self.unplaceable: dict[str, list[Resources]] = {}
        self.most_free = find_most_free(workers)

    def affects(self, step: StepOccurrence) -> bool:
        """Return whether a step is not to be tried in this pass.

        It is not if it can't fit, or if many other steps of its kind were
        tried in vain and it has had its turn.
        """
        if self.is_unplaceable(step.spec):
            return True
        unplaced = self.unplaced[step.spec.is_long_running]
        if unplaced < MAX_UNPLACED_STEPS:
            return False
        return step.had_turn or unplaced >= 2 * MAX_UNPLACED_STEPS

    def is_unplaceable(self, step: StepSpec) -> bool:
        """Return whether it is known that no worker can take a step.

        Long-running steps are compared only with others that did not fit, as
        a worker is to be kept free for the first of them.
        """
        needed = step.counted_resources
        if not step.is_long_running and not needed.fits_in(self.most_free):
            return True
        return any(
            least.fits_in(needed)
            for label in {'', step.required_label}
            for least in self.unplaceable.get(label, ())
        )

    def count(self, step: StepOccurrence) -> None:
        """Count a step that was tried in vain, whatever the reason."""
        is_long_running = step.spec.is_long_running
        if self.unplaced[is_long_running] >= MAX_UNPLACED_STEPS:
            step.had_turn = True
        self.unplaced[is_long_running] += 1

    def record(self, step: StepOccurrence) -> None:
        """Record that no worker could take a step.

        It says something about other steps only if no rule but its label kept
        it from the workers that have capacity.
        """
        self.count(step)
        spec = step.spec
        if spec.is_gang or spec.needs_single_rack or spec.max_per_worker:
            return
        known = self.unplaceable.setdefault(spec.required_label, [])
        known.append(spec.counted_resources)

    def end_pass(self, steps: Iterable[StepOccurrence]) -> None:
        """Begin new turns for each kind of which all steps have had theirs."""
        for step in steps:
            if self.unplaced[step.spec.is_long_running] < (
                2 * MAX_UNPLACED_STEPS
            ):
                step.had_turn = False


def find_most_free(workers: list[Worker]) -> Resources:
    """Return the largest free amount of each resource on any worker."""
    free = [worker.free_capacity for worker in workers]
    return Resources(
        max((amount.cpu_millis for amount in free), default=-1),
        max((amount.memory_mb for amount in free), default=-1),
        max((amount.accelerators for amount in free), default=-1),
    )
