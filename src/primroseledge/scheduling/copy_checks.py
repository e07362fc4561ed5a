"""When the tasks of a service are checked for whether to copy them."""

from dataclasses import dataclass
from dataclasses import field
from heapq import heappop
from heapq import heappush
from itertools import count
from typing import NamedTuple

from primroseledge.jobs.task import Task


class CopyCheck(NamedTuple):
    """A check of a task at a time, as long as it has this run.

    ``order`` is the number in which checks were added.
    """

    due_at: float
    order: int
    run_number: int
    task: Task


@dataclass(slots=True)
class CopyChecks:
    """The runs of a service that may get a copy, by when to check them."""

    heap: list[CopyCheck] = field(default_factory=list)
    numbers: 'count[int]' = field(default_factory=count)

    def add(self, task: Task, due_at: float) -> None:
        """Have a task's present run checked at a time."""
        if task.run is not None:
            check = CopyCheck(
                due_at, next(self.numbers), task.run.number, task
            )
            heappush(self.heap, check)

    def pop_due(self, now: float) -> list[Task]:
        """Remove and return the tasks to check now, each of them once.

        Left out are those whose run has ended or is to be stopped, and those
        that are done or have a copy; they are added again when they may be
        copied again.
        """
        due = dict[int, Task]()
        while self.heap and self.heap[0].due_at <= now:
            check = heappop(self.heap)
            task = check.task
            run = task.run
            if run is None or run.number != check.run_number:
                continue
            if not (task.is_done or task.copy or run.is_stop_requested):
                due[id(task)] = task
        return list(due.values())
