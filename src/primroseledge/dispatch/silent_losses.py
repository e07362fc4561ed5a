"""Find out later whether a worker had crashed whose lease expired.

A crashed worker may be back only after the lease of its runs. Until a later
boot, or another worker, shows at its address, the end of its runs is not
explained: each is an open loss of its task. The tasks start again meanwhile,
but not more often than if each open loss were a crash.
"""

from collections.abc import Iterable

from primroseledge.dispatch.run_losses import find_suspected_runs
from primroseledge.dispatch.run_losses import hold_against_task
from primroseledge.ids import Boot
from primroseledge.jobs.silent_loss import SilentLoss
from primroseledge.jobs.silent_loss import SuspectedRun
from primroseledge.jobs.silent_loss import VERDICT_WAIT_S
from primroseledge.jobs.task import Task
from primroseledge.scheduling.fleet_state import FleetState
from primroseledge.workers.ending import EndCause
from primroseledge.workers.ending import find_end_cause
from primroseledge.workers.worker import Worker


def record_silent_loss(
    state: FleetState, worker: Worker, tasks: Iterable[Task], now: float
) -> None:
    """Record the runs on a silent worker that are about to be given up.

    ``tasks`` are those on the worker whose lease has expired. Nothing is
    recorded of a worker that may have been cut off or may have left.
    """
    cause = find_end_cause(worker, state.workers_listed_at, now)
    silent_since = worker.silent_since
    if cause is not EndCause.CRASHED or silent_since is None:
        return
    suspected = find_suspected_runs(state, worker, silent_since, now)
    loss = state.silent_losses.setdefault(
        worker.entry.address, SilentLoss(worker.entry.boot, now)
    )
    for task in tasks:
        crash = suspected.get(task.key)
        if crash is None:
            continue
        original = task.original
        loss.runs.append(SuspectedRun(original, crash))
        original.open_losses += 1
        if original.needs_isolation:
            state.jobs_to_isolate.add(task.key.job)


def settle_silent_loss(
    state: FleetState, address: str, boot: Boot, now: float
) -> None:
    """Decide why the worker at an address fell silent, by who is there now.

    ``boot`` is that of the worker there; another one than before shows that
    the worker has crashed.
    """
    loss = state.silent_losses.pop(address, None)
    if loss is None:
        return
    for task, crash in loss.runs:
        task.open_losses -= 1
        if boot != loss.boot:
            hold_against_task(state, task, crash, now)
        state.request_planning(state.jobs[task.key.job])


def forget_silent_losses(state: FleetState, now: float) -> None:
    """End the open losses of which no cause was found in time.

    They are held against no task.
    """
    for address, loss in list(state.silent_losses.items()):
        if now >= loss.lost_at + VERDICT_WAIT_S:
            settle_silent_loss(state, address, loss.boot, now)
