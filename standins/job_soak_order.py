"""Judges the order of a soak's runs, their number, and what is noted.

``CONDITIONS`` are all conditions, those of this module included.
"""

from math import inf
from typing import Final

from standins.job_evidence import CallKind
from standins.job_soak_history import History
from standins.job_soak_records import FAILED
from standins.job_soak_records import parse_task
from standins.job_soak_records import Run
from standins.job_soak_records import Span
from standins.job_soak_verdicts import condition
from standins.job_soak_verdicts import CONDITIONS
from standins.job_soak_verdicts import describe_run
from standins.job_soak_verdicts import Verdict

__all__ = ('CONDITIONS',)

ACK_S: Final = 4.0
"""In seconds of calm; ends and cancels are acknowledged by then."""

UNNOTED_ENDS: Final = 1 / 5
UNNOTED_CANCELS: Final = 1 / 10
MIN_UNNOTED_CANCELS: Final = 3


@condition('ORDER: a step begins when the steps before it are done')
def check_order(history: History, verdict: Verdict) -> None:
    """All tasks of the steps in ``after`` have ended done by then."""
    for run in history.runs:
        name = parse_task(run.task)
        job = None if name is None else history.jobs.get(name.job)
        if name is None or job is None or not job.has_task(name):
            continue
        before = set(job.evidence.steps[name.step].after)
        if before:
            open_steps = before & set(job.find_unfinished(run.began_at, False))
            verdict.check(
                not open_steps,
                f'{run.task} before steps {sorted(open_steps)}: '
                f'{describe_run(history, run, run.began_at)}',
            )


@condition('BUDGET: no run after as many failed ones as are allowed')
def check_budget(history: History, verdict: Verdict) -> None:
    """Failed runs count whose ends were acknowledged then or later."""
    for job in history.jobs.values():
        allowed = job.evidence.max_attempts
        for task, runs in job.runs.items():
            name = parse_task(task)
            if name is None or not job.has_task(name):
                continue
            if job.evidence.steps[name.step].is_long_running:
                continue
            for run in runs:
                failed = sum(
                    other.is_counted(FAILED) and other.ended_at < run.began_at
                    for other in runs
                )
                verdict.check(
                    failed < allowed,
                    f'{task} after {failed} failed runs of {allowed}: '
                    f'{describe_run(history, run, run.began_at)}',
                )


@condition('ACKS: at most a fifth of the ends stay unacknowledged')
def check_end_acks(history: History, verdict: Verdict) -> None:
    """Ends count that had ``ACK_S`` of calm in the life of the worker."""
    calm = history.calm_spans(0.0)
    listed = [run for run in history.runs if run.how not in ('', 'life ended')]
    late = [run for run in listed if is_unnoted(history, calm, run)]
    example = ''
    if late:
        example = (
            f'{len(late)} of {len(listed)} ends, such as {late[0].task}: '
            f'{describe_run(history, late[0], late[0].ended_at)}'
        )
    verdict.check(len(late) <= UNNOTED_ENDS * len(listed), example)
    verdict.counts['end not acknowledged in time'] = len(late)


def is_unnoted(history: History, calm: list[Span], run: Run) -> bool:
    """Tell whether an end had time enough and wasn't acknowledged."""
    life = history.lives.get((run.worker, run.boot))
    until = min(
        inf if life is None else life.ended_at,
        inf if run.acked_at is None else run.acked_at,
    )
    return has_passed(calm, run.ended_at, until)


def has_passed(calm: list[Span], since: float, until: float) -> bool:
    """Tell whether ``ACK_S`` of calm lie between two times on end."""
    return any(min(b, until) - max(a, since) >= ACK_S for a, b in calm)


@condition('ACKS: at most a tenth of the cancels stay unanswered')
def check_cancel_acks(history: History, verdict: Verdict) -> None:
    """Cancels of accepted jobs count that had ``ACK_S`` of calm."""
    calm = history.calm_spans(0.0)
    cancelled = [
        job
        for job in history.jobs.values()
        if job.accepted_at < job.cancel_sent_at < inf
    ]
    late = [
        job
        for job in cancelled
        if has_passed(calm, job.cancel_sent_at, job.cancelled_at)
    ]
    is_much = len(late) > UNNOTED_CANCELS * len(cancelled)
    verdict.check(
        not is_much or len(late) < MIN_UNNOTED_CANCELS,
        f'{len(late)} of {len(cancelled)} cancels: '
        f'{[job.evidence.id for job in late]}',
    )
    verdict.counts['cancel not answered in time'] = len(late)
    verdict.counts['cancel sent'] = sum(
        call.kind is CallKind.CANCEL for call in history.calls
    )
