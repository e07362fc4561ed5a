"""Judges a soak of the job path by what workers and callers saw.

The conditions are functions from a history to a verdict. Times in examples
are seconds since the evidence begins. ``python -m standins.job_soak_judge
FOLDER`` judges evidence that was kept, and exits with 1 if a condition was
broken.
"""

import collections
from itertools import combinations
from math import inf
from pathlib import Path
import sys
from typing import Final

from standins.job_evidence import CallEvidence
from standins.job_evidence import CallKind
from standins.job_evidence import Outcome
from standins.job_soak_crashes import CONDITIONS
from standins.job_soak_history import History
from standins.job_soak_history import read_history
from standins.job_soak_records import DONE
from standins.job_soak_records import FINAL_STATES
from standins.job_soak_records import Job
from standins.job_soak_records import parse_task
from standins.job_soak_records import Run
from standins.job_soak_standing import CALM_BEFORE_S
from standins.job_soak_standing import find_standing
from standins.job_soak_standing import has_room
from standins.job_soak_standing import Standing
from standins.job_soak_standing import STANDING_S
from standins.job_soak_verdicts import condition
from standins.job_soak_verdicts import describe_pair
from standins.job_soak_verdicts import describe_run
from standins.job_soak_verdicts import EXAMPLES
from standins.job_soak_verdicts import render
from standins.job_soak_verdicts import Verdict

VISIBLE_S: Final = 3.0
"""In seconds after its acceptance; from then on a job is known."""

CANCEL_S: Final = 3.0
"""In seconds after an acknowledged cancel; from then on nothing starts."""

NOTED_S: Final = 1.0
"""In seconds; a completed job's tasks don't start later than that."""

CONTACT_S: Final = 3.0
"""In seconds; after a fault an instance is back in touch."""

KEPT_S: Final = 120.0
"""In seconds; for so long the state of an ended job is kept."""

FINISHING_S: Final = 8.0
"""In seconds after the last submission; a job cancelled later is owed an end.

Callers cancel what hasn't ended after 14 s of their own.
"""

ANSWER_MARGIN_S: Final = 0.5
"""In seconds; a caller that gave up is told apart from a late answer."""


@condition('TWICE: no two runs of a task at the same time')
def check_overlaps(history: History, verdict: Verdict) -> None:
    """Runs of a task don't overlap while the workers' lives last.

    A paused worker is up, and its run goes on until its lease expires.
    """
    for runs in history.runs_of.values():
        runs = sorted(runs, key=lambda run: run.began_at)
        verdict.check(True, '')
        for first, second in combinations(runs, 2):
            verdict.check(
                second.began_at >= first.ended_at
                or second.began_at >= second.ended_at,
                describe_pair(history, first, second),
            )


@condition('TWICE: no run after an acknowledged end as done')
def check_repeats(history: History, verdict: Verdict) -> None:
    """A task doesn't start once it ended done, if that end was noted.

    It doesn't matter whether the end was noted before the start.
    """
    for runs in history.runs_of.values():
        done = [run for run in runs if run.is_counted(DONE)]
        for first in done:
            late = [run for run in runs if run.began_at > first.ended_at]
            verdict.check(True, '')
            for second in late:
                verdict.check(False, describe_pair(history, first, second))


@condition('TWICE: no run of a job that was shown as completed')
def check_completed(history: History, verdict: Verdict) -> None:
    """Nothing starts later than ``NOTED_S`` after a job was completed."""
    for job in history.jobs.values():
        shown_at = min(
            (c.ended_at for c in job.calls if c.state == 'completed'),
            default=inf,
        )
        if shown_at == inf:
            continue
        verdict.check(True, '')
        for runs in job.runs.values():
            for run in runs:
                if run.began_at > shown_at + NOTED_S:
                    verdict.check(
                        False,
                        f'{run.task}, shown completed at '
                        f'{history.at(shown_at)}: '
                        f'{describe_run(history, run, shown_at)}',
                        history.is_struck(
                            run.began_at - CONTACT_S, run.began_at, None
                        ),
                    )


@condition('LOST: an accepted job is not missing')
def check_missing(history: History, verdict: Verdict) -> None:
    """An accepted job is known, but for cancelled and long ended ones."""
    for job in history.jobs.values():
        known_from = job.accepted_at + VISIBLE_S
        known_to = min(job.cancel_sent_at, job.over_at + KEPT_S)
        for call in job.calls:
            if call.kind is not CallKind.STATE:
                continue
            if not known_from < call.sent_at < known_to:
                continue
            verdict.check(
                call.outcome is not Outcome.MISSING,
                f'{call.job} missing at {call.entry}, asked at '
                f'{history.at(call.sent_at)}, accepted at '
                f'{history.at(job.accepted_at)}',
                history.is_struck(
                    call.sent_at - CONTACT_S,
                    call.ended_at,
                    (call.entry, 'store'),
                ),
            )


@condition('LOST: no job ends as failed or cancelled without cause')
def check_causes(history: History, verdict: Verdict) -> None:
    """A failed job has a task that did, a cancelled one was cancelled.

    A task under which two workers crashed may be given up, also if it was not
    the cause; such jobs are counted.
    """
    for job in history.jobs.values():
        is_failed = any(call.state == 'failed' for call in job.calls)
        if is_failed and not job.is_deadly and not job.has_failed(inf):
            verdict.counts['sound job given up after crashes'] += 1
        for call in job.calls:
            if call.state == 'cancelled':
                has_cause = job.cancel_sent_at <= call.ended_at
            elif call.state == 'failed':
                has_cause = job.has_failed(call.ended_at) or (
                    job.has_crashed(call.ended_at)
                )
            else:
                continue
            verdict.check(
                has_cause,
                f'{call.job} shown as {call.state} at {call.entry} at '
                f'{history.at(call.ended_at)}',
            )


@condition('LOST: each job has ended when the soak ends')
def check_ends(history: History, verdict: Verdict) -> None:
    """The last answer after the last submission shows an ended job.

    A long-running job that wasn't cancelled before has to be running. A
    known job is excused if a run of it was there in the last seconds before
    that answer, or if there was never room for it.
    """
    traffic_ended_at = max(
        (c.ended_at for c in history.calls if c.kind is CallKind.SUBMIT),
        default=inf,
    )
    for job in history.jobs.values():
        if inf in (job.accepted_at, traffic_ended_at):
            continue
        if job.cancel_sent_at <= traffic_ended_at + FINISHING_S:
            continue
        asked = [
            call
            for call in job.calls
            if call.kind is CallKind.STATE
            and call.sent_at < job.cancel_sent_at
        ]
        if any(call.sent_at >= traffic_ended_at for call in asked):
            told = [c for c in asked if c.outcome is not Outcome.UNKNOWN]
            state = told[-1].state if told else ''
            verdict.check(
                state in FINAL_STATES
                or (job.is_long_running and state == 'running'),
                describe_job(history, job, state or 'not known'),
                bool(state)
                and (
                    job.is_at_work(told[-1].sent_at - STANDING_S)
                    or not has_room(history, job, traffic_ended_at)
                ),
            )


def describe_job(history: History, job: Job, state: str) -> str:
    """Return what a job was last told to be, and the ends of its runs."""
    ends = collections.Counter(
        (run.how or 'running') + ('' if run.acked_at else ' not noted')
        for runs in job.runs.values()
        for run in runs
    )
    counts = [step.count for step in job.evidence.steps]
    return (
        f'{job.evidence.id} of {job.evidence.pool} is {state}, accepted at '
        f'{history.at(job.accepted_at)}, tasks by step {counts}, '
        f'ends of runs {dict(ends)}, unfinished steps '
        f'{job.find_unfinished(history.ended_at, True)}'
    )


def check_cases(
    history: History, verdict: Verdict, cases: list[Standing]
) -> None:
    """Count each accepted job once, and its cases as broken."""
    verdict.tested += sum(j.accepted_at < inf for j in history.jobs.values())
    calm = history.calm_spans(CALM_BEFORE_S)
    verdict.counts['s of calm'] = round(sum(b - a for a, b in calm))
    for case in cases:
        verdict.check(False, case.describe(history))


@condition('LOST: no job stands still with room for it twice over')
def check_standing(history: History, verdict: Verdict) -> None:
    """In calm times, with under half of the pool's capacity in use."""
    cases = find_standing(history)
    check_cases(history, verdict, [c for c in cases if not c.is_half_full])


@condition('LOST: nor in a pool that is half full or more')
def check_standing_when_full(history: History, verdict: Verdict) -> None:
    """In calm times there only has to be room, however full the pool is."""
    cases = find_standing(history)
    check_cases(history, verdict, [c for c in cases if c.is_half_full])


@condition('UNASKED: only what was submitted starts')
def check_submitted(history: History, verdict: Verdict) -> None:
    """Each run is of a task that a submitted job has."""
    for run in history.runs:
        name = parse_task(run.task)
        job = None if name is None else history.jobs.get(name.job)
        verdict.check(
            name is not None and job is not None and job.has_task(name),
            f'{run.task}: {describe_run(history, run, run.began_at)}',
        )


@condition('UNASKED: nothing starts after an acknowledged cancel')
def check_cancels(history: History, verdict: Verdict) -> None:
    """Nothing starts later than ``CANCEL_S`` after the answer."""
    for job in history.jobs.values():
        if job.cancelled_at == inf:
            continue
        verdict.check(True, '')
        for runs in job.runs.values():
            for run in runs:
                if run.began_at <= job.cancelled_at + CANCEL_S:
                    continue
                verdict.check(
                    False,
                    f'{run.task}, cancelled at '
                    f'{history.at(job.cancelled_at)}: '
                    f'{describe_run(history, run, job.cancelled_at)}',
                    history.is_struck(
                        run.began_at - CONTACT_S, run.began_at, None
                    ),
                )


@condition('MIXED: a completed job has all its tasks done')
def check_mixed(history: History, verdict: Verdict) -> None:
    """Whoever is told of a completed job, its tasks have ended done."""
    for job in history.jobs.values():
        for call in job.calls:
            if call.state != 'completed':
                continue
            unfinished = job.find_unfinished(call.ended_at, False)
            verdict.check(
                not unfinished,
                f'{call.job} completed at {call.entry} at '
                f'{history.at(call.ended_at)}, unfinished steps {unfinished}',
            )


@condition('REFUSED: a refused job does not run')
def check_refused(history: History, verdict: Verdict) -> None:
    """Nothing starts of a job whose submissions were all refused."""
    for job in history.jobs.values():
        if not job.is_refused:
            continue
        verdict.check(
            not job.runs,
            f'{job.evidence.id} runs though refused: '
            f'{sorted(job.runs)[:EXAMPLES]}',
        )


@condition('FENCE: no start under a lower epoch after a higher one')
def check_fences(history: History, verdict: Verdict) -> None:
    """Epochs of starts never fall in the life of a worker."""
    newest: dict[tuple[str, int], Run] = {}
    for run in history.runs:
        before = newest.get((run.worker, run.boot), run)
        verdict.check(
            run.epoch >= before.epoch,
            f'{run.task}: {describe_run(history, run, run.began_at)}, after '
            f'epoch {before.epoch} at {history.at(before.began_at)}',
        )
        if run.epoch >= before.epoch:
            newest[run.worker, run.boot] = run


@condition('ANSWERED: each call is answered in time or broken off')
def check_answers(history: History, verdict: Verdict) -> None:
    """No call is left without an answer until its caller gives up."""
    for call in history.calls:
        if call.outcome is Outcome.UNKNOWN:
            verdict.counts[call.cause or 'no cause'] += 1
        if call.deadline_at:
            check_answer(history, verdict, call)


def check_answer(
    history: History, verdict: Verdict, call: CallEvidence
) -> None:
    """Check that one call ended before its deadline and a margin."""
    verdict.check(
        call.ended_at <= call.deadline_at + ANSWER_MARGIN_S,
        f'{call.kind.value} of {call.job} at {call.entry}, sent at '
        f'{history.at(call.sent_at)}, ended after '
        f'{call.ended_at - call.sent_at:.3f} s as {call.outcome.value} '
        f'{call.cause}, due after {call.deadline_at - call.sent_at:.3f} s',
        history.is_struck(
            call.sent_at - CONTACT_S, call.ended_at, (call.entry,)
        ),
    )


def judge(history: History) -> dict[str, Verdict]:
    """Return the verdict on each condition, untested ones included."""
    verdicts: dict[str, Verdict] = {}
    for text, function in CONDITIONS.items():
        verdicts[text] = Verdict()
        function(history, verdicts[text])
    return verdicts


def main() -> int:
    """Judge the evidence in a folder."""
    verdicts = judge(read_history(Path(sys.argv[1])))
    print('\n'.join(render(verdicts)))
    return int(any(verdict.broken for verdict in verdicts.values()))


if __name__ == '__main__':
    sys.exit(main())
