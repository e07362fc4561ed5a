"""Lives, runs and jobs of a soak, put together from its evidence."""

import collections
from collections.abc import Iterable
from collections.abc import Sequence
from math import inf
from pathlib import Path

from standins.job_evidence import CallEvidence
from standins.job_evidence import CRASH_S
from standins.job_evidence import CRASHED
from standins.job_evidence import EvidenceKind
from standins.job_evidence import FaultEvidence
from standins.job_evidence import JobEvidence
from standins.job_evidence import Line
from standins.job_evidence import read_evidence
from standins.job_evidence import WorkerEvidence
from standins.job_soak_records import EXPIRED
from standins.job_soak_records import Job
from standins.job_soak_records import Life
from standins.job_soak_records import LIFE_ENDED
from standins.job_soak_records import parse_task
from standins.job_soak_records import Run
from standins.job_soak_records import Span


class History:
    """All that is known of a soak, with times as in the evidence."""

    def __init__(
        self,
        workers: Iterable[WorkerEvidence],
        calls: Iterable[CallEvidence],
        jobs: Iterable[JobEvidence],
        faults: Iterable[FaultEvidence],
    ) -> None:
        self.lines = sorted(workers, key=lambda line: line.at)
        self.calls = sorted(calls, key=lambda call: call.ended_at)
        self.faults = sorted(faults, key=lambda fault: fault.began_at)
        self.jobs = {job.id: Job(job) for job in jobs}
        self.lives: dict[tuple[str, int], Life] = {}
        self.newest: dict[str, Life] = {}
        self.runs: list[Run] = []
        self.found: dict[tuple[str, int, str, int], Run] = {}
        self.runs_of: dict[str, list[Run]] = collections.defaultdict(list)
        self.unknown_calls = 0
        self.began_at = min(
            [line.at for line in self.lines[:1]]
            + [call.sent_at for call in self.calls],
            default=0.0,
        )
        self.ended_at = max(
            [call.ended_at for call in self.calls[-1:]]
            or [line.at for line in self.lines[-1:]],
            default=0.0,
        )
        for line in self.lines:
            self.add_line(line)
        self.end_runs_with_lives()
        self.add_crashes()
        for call in self.calls:
            if call.job in self.jobs:
                self.jobs[call.job].add_call(call)

    def add_line(self, line: WorkerEvidence) -> None:
        """Add what a worker saw, in the order of the times."""
        if line.kind is EvidenceKind.LIFE_BEGAN:
            self.begin_life(line)
            return
        if line.kind is EvidenceKind.STARTED:
            self.begin_run(line)
            return
        life = self.lives.get((line.worker, line.boot))
        if line.kind is EvidenceKind.LIFE_ENDED and life is not None:
            life.ended_at = min(life.ended_at, line.at)
            life.how = life.how or line.how
        if line.kind is EvidenceKind.CAPACITY and life is not None:
            life.capacities.append((line.at, line.cpu_millis))
        if line.kind is EvidenceKind.ENDED and line.how == EXPIRED and life:
            life.expired_at.append(line.at)
        run = self.found.get((line.worker, line.boot, line.task, line.run))
        if run is not None:
            self.add_to_run(run, line)

    def begin_life(self, line: WorkerEvidence) -> None:
        """Begin a life; the worker's one before it is over."""
        before = self.newest.get(line.worker)
        if before is not None:
            before.ended_at = min(before.ended_at, line.at)
        life = Life(
            line.worker,
            line.boot,
            line.pool,
            line.cpu_millis,
            line.labels,
            line.at,
            line.checks_room,
            capacities=[(line.at, line.cpu_millis)],
        )
        self.newest[line.worker] = life
        self.lives[line.worker, line.boot] = life

    def begin_run(self, line: WorkerEvidence) -> None:
        """Begin a run."""
        run = Run(
            line.task,
            line.run,
            line.worker,
            line.boot,
            line.epoch,
            line.at,
        )
        self.runs.append(run)
        self.runs_of[line.task].append(run)
        self.found[line.worker, line.boot, line.task, line.run] = run
        name = parse_task(line.task)
        if name is not None and name.job in self.jobs:
            self.jobs[name.job].runs[line.task].append(run)

    def add_to_run(self, run: Run, line: WorkerEvidence) -> None:
        """Note the order to stop a run, its end, or the acknowledgement.

        An acknowledgement is void if the lease expired after the end.
        """
        if line.kind is EvidenceKind.STOP_ORDERED and run.stopped_at is None:
            run.stopped_at = line.at
        elif line.kind is EvidenceKind.ENDED and run.ended_at == inf:
            run.ended_at = line.at
            run.how = line.how
        elif line.kind is EvidenceKind.ACKED and run.acked_at is None:
            life = self.lives.get((run.worker, run.boot))
            expired = () if life is None else life.expired_at
            if not any(run.ended_at < at <= line.at for at in expired):
                run.acked_at = line.at

    def add_crashes(self) -> None:
        """Add the crashes of which a task was the cause as faults."""
        for life in self.lives.values():
            if life.how == CRASHED:
                self.faults.append(
                    FaultEvidence(
                        life.ended_at,
                        life.ended_at + CRASH_S[1],
                        CRASHED,
                        life.worker,
                    )
                )
        self.faults.sort(key=lambda fault: fault.began_at)

    def end_runs_with_lives(self) -> None:
        """End the runs that were still there when their life ended."""
        for run in self.runs:
            life = self.lives.get((run.worker, run.boot))
            if life is not None and life.ended_at < run.ended_at:
                run.ended_at = life.ended_at
                run.how = LIFE_ENDED

    def at(self, time: float) -> str:
        """Return a time as seconds since the evidence begins."""
        return f'{time - self.began_at:.3f}'

    def is_struck(
        self, since: float, until: float, subjects: Sequence[str] | None
    ) -> bool:
        """Tell whether a fault lies in a span.

        With ``subjects`` only faults count whose subject is empty or
        contains one of them.
        """
        return any(
            fault.began_at <= until
            and fault.ended_at >= since
            and (
                subjects is None
                or not fault.subject
                or any(subject in fault.subject for subject in subjects)
            )
            for fault in self.faults
        )

    def calm_spans(self, rest_s: float) -> list[Span]:
        """Return the spans without a fault, ``rest_s`` after each."""
        spans = list[Span]()
        calm_since = self.began_at + rest_s
        for fault in self.faults:
            if fault.began_at > calm_since:
                spans.append((calm_since, fault.began_at))
            calm_since = max(calm_since, fault.ended_at + rest_s)
        if self.ended_at > calm_since:
            spans.append((calm_since, self.ended_at))
        return spans


def read_all(folder: Path, prefix: str, kind: type[Line]) -> list[Line]:
    """Return the lines of all files whose name begins so."""
    return [
        line
        for path in sorted(folder.glob(f'{prefix}*.jsonl'))
        for line in read_evidence(path, kind)
    ]


def read_history(folder: Path) -> History:
    """Return what the files of a folder tell, named by their kind.

    They are ``workers*.jsonl``, ``calls*.jsonl``, ``jobs*.jsonl`` and
    ``faults*.jsonl``.
    """
    return History(
        read_all(folder, 'workers', WorkerEvidence),
        read_all(folder, 'calls', CallEvidence),
        read_all(folder, 'jobs', JobEvidence),
        read_all(folder, 'faults', FaultEvidence),
    )
