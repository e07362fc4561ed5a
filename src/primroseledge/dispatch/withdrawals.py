"""Withdraw starts that an owner kept while it may send no orders."""

from primroseledge.dispatch.ends import find_task
from primroseledge.jobs.task import RunPhase
from primroseledge.scheduling.actions import Action
from primroseledge.scheduling.actions import SendStart
from primroseledge.scheduling.fleet_state import FleetState
from primroseledge.scheduling.start_checks import find_start_problem
from primroseledge.scheduling.start_checks import withdraw_start


def withdraw_kept_starts(state: FleetState, now: float) -> None:
    """Withdraw the starts among the next actions that may not be sent now.

    These are starts in evacuated zones and on workers whose capacity has
    shrunk. One that was sent before may have been carried out, so its run is
    stopped instead. A start of a run that was given up meanwhile is dropped.
    """
    kept = list[Action]()
    for action in state.actions:
        if not isinstance(action, SendStart):
            kept.append(action)
            continue
        task = find_task(state, action.task, action.run_number)
        run = task.run if task else None
        if task is None or run is None or run.number != action.run_number:
            continue
        worker = state.workers.get(action.target.worker)
        problem = (
            find_start_problem(state, worker, task, now) if worker else ''
        )
        if not problem:
            kept.append(action)
            continue
        if run.send_count == 1:
            withdraw_start(state, task, problem, now)
            continue
        run.phase = RunPhase.UNRESOLVED
        run.unresolved_at = now
        state.request_stop(task)
        state.stop_other_members(task)
    state.actions = kept
