"""Judges a soak run by the upstreams' ledgers."""

import collections
from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field
from typing import Any
from typing import Final

from standins.caller import Told
from standins.soak_events import Record
from standins.soak_fleet import LIMITS
from standins.soak_fleet import SLOTS
from standins.soak_load import Load

SECONDS: Final = 4.0
STOP_MARGIN_S: Final = 0.5
EXAMPLES: Final = 3


@dataclass(frozen=True, slots=True)
class Execution:
    """One run in an upstream's ledger."""

    upstream: str
    request_id: str
    team: str
    began_at: float
    ended_at: float


@dataclass(slots=True)
class Verdict:
    """How often a condition was tested and broken, with examples."""

    tested: int = 0
    broken: int = 0
    examples: list[str] = field(default_factory=list)

    def check(self, has_held: bool, example: str) -> None:
        """Count one test."""
        self.tested += 1
        if has_held:
            return
        self.broken += 1
        if len(self.examples) < EXAMPLES:
            self.examples.append(example)


class Evidence:
    """What callers were told, what ran, and what was done."""

    def __init__(
        self, load: Load, record: Record, ledgers: dict[str, dict[str, Any]]
    ) -> None:
        self.load = load
        self.record = record
        self.ledgers = ledgers
        self.executions = [
            Execution(
                name,
                item['request_id'],
                item['team'],
                item['began_at'],
                item['ended_at'] or float('inf'),
            )
            for name, ledger in ledgers.items()
            for item in ledger['executions']
        ]
        self.runs = collections.Counter(e.request_id for e in self.executions)
        self.requests = {r.sent.request_id: r for r in load.requests}

    def at(self, time: float) -> float:
        """Return a time as seconds since the run began."""
        return round(time - self.load.began_at, 2)


Condition = Callable[[Evidence, Verdict], None]
CONDITIONS: dict[str, Condition | None] = {}


def condition(text: str) -> Callable[[Condition], Condition]:
    """Register the test of a condition of the brief."""

    def register(function: Condition) -> Condition:
        CONDITIONS[text] = function
        return function

    return register


CONDITIONS['availability budgets hold'] = None


@condition('an instance belongs to exactly one pool')
def check_pools(evidence: Evidence, verdict: Verdict) -> None:
    """Each run was on an instance of its service's pool at that time."""
    moves = evidence.record.moves
    for run in evidence.executions:
        request = evidence.requests.get(run.request_id)
        if request is None:
            continue
        pools = {run.upstream.split('-')[0]}
        for move in moves:
            if move.name != run.upstream:
                continue
            if run.began_at > move.moved_at + SECONDS:
                pools = {move.new}
            elif run.began_at > move.moved_at - SECONDS:
                pools.add(move.new)
        verdict.check(
            request.sent.service in pools,
            f'{run.request_id} of {request.sent.service} on {run.upstream} '
            f'at {evidence.at(run.began_at)} s',
        )


@condition('work only for the team of the key; withdrawn keys stop')
def check_keys(evidence: Evidence, verdict: Verdict) -> None:
    """Runs are for the key's team, none with a bad or withdrawn key."""
    for run in evidence.executions:
        request = evidence.requests.get(run.request_id)
        if request is None or not request.team:
            continue
        verdict.check(
            run.team == request.team,
            f'{run.request_id} of {request.team} ran for {run.team}',
        )
    for request in evidence.load.requests:
        withdrawn_at = evidence.load.withdrawn.get(request.key)
        is_forged = request.key.startswith('forged')
        if withdrawn_at is None and not is_forged:
            continue
        if (
            withdrawn_at is not None
            and request.sent.began_at < withdrawn_at + SECONDS
        ):
            continue
        verdict.check(
            not evidence.runs[request.sent.request_id],
            f'{request.sent.request_id} ran with a bad key, sent at '
            f'{evidence.at(request.sent.began_at)} s',
        )


@condition('no team has more running than its limit')
def check_limits(evidence: Evidence, verdict: Verdict) -> None:
    """The running count of each team from the ledgers' times."""
    for team, limit in LIMITS.items():
        edges: list[tuple[float, int]] = []
        for run in evidence.executions:
            if run.team == team:
                edges += [(run.began_at, 1), (run.ended_at, -1)]
        running = 0
        for time, step in sorted(edges):
            running += step
            if step > 0:
                verdict.check(
                    running <= limit,
                    f'{team} had {running} of {limit} running at '
                    f'{evidence.at(time)} s',
                )


@condition('a whole answer to their own request')
def check_answers(evidence: Evidence, verdict: Verdict) -> None:
    """Every request of a good key got an end, and answers are its own."""
    for request in evidence.load.requests:
        sent = request.sent
        is_answered = sent.told is Told.ANSWERED
        has_run = evidence.runs[sent.request_id] > 0
        verdict.check(
            sent.told is not Told.NOTHING
            and sent.is_whole
            and (has_run or not is_answered),
            f'{sent.request_id} told {sent.told.value} after {sent.sends} '
            f'sends, whole: {sent.is_whole}, ran: {has_run}, sent at '
            f'{evidence.at(sent.began_at)} s',
        )


@condition('a refusal that says "not run" is true')
def check_refusals(evidence: Evidence, verdict: Verdict) -> None:
    """What was refused as not run is in no ledger.

    An idempotent request that its caller sent again is left out: the
    refusal speaks of the last send.
    """
    for request in evidence.load.requests:
        sent = request.sent
        is_again = sent.is_idempotent and sent.sends > 1
        if sent.told is Told.NOT_RUN and not is_again:
            verdict.check(
                not evidence.runs[sent.request_id],
                f'{sent.request_id} refused as {sent.reason} ran '
                f'{evidence.runs[sent.request_id]} times, sent at '
                f'{evidence.at(sent.began_at)} s, {sent.sends} sends',
            )


@condition('at-most-once execution of non-idempotent requests')
def check_once(evidence: Evidence, verdict: Verdict) -> None:
    """No non-idempotent request ran twice."""
    for request in evidence.load.requests:
        sent = request.sent
        if not sent.is_idempotent:
            verdict.check(
                evidence.runs[sent.request_id] <= 1,
                f'{sent.request_id} ran '
                f'{evidence.runs[sent.request_id]} times, sent at '
                f'{evidence.at(sent.began_at)} s, {sent.sends} sends',
            )


@condition('a leaving upstream gets no new work after a few seconds')
def check_drains(evidence: Evidence, verdict: Verdict) -> None:
    """Nothing began on a draining upstream, nor ran over its slots."""
    for drain in evidence.record.drains:
        late = [
            run
            for run in evidence.executions
            if run.upstream == drain.name
            and drain.began_at + SECONDS < run.began_at < drain.ended_at
        ]
        verdict.check(
            not late,
            f'{len(late)} runs on {drain.name}, drained at '
            f'{evidence.at(drain.began_at)} s',
        )


@condition('every planned stop cuts no request')
def check_stops(evidence: Evidence, verdict: Verdict) -> None:
    """A stopped entry instance ended well and broke no connection."""
    cuts = [cut for r in evidence.load.requests for cut in r.sent.cuts]
    for stop in evidence.record.stops:
        cut = [
            c
            for c in cuts
            if c.port == stop.port
            and stop.began_at <= c.ended_at <= stop.ended_at + STOP_MARGIN_S
        ]
        problems = collections.Counter(c.problem for c in cut)
        verdict.check(
            not cut and stop.code == 0,
            f'exit {stop.code} after '
            f'{round(stop.ended_at - stop.began_at, 2)} s, cut '
            f'{dict(problems)}, at {evidence.at(stop.began_at)} s',
        )


@condition('an accepted configuration is in force and never reverts')
def check_configuration(evidence: Evidence, verdict: Verdict) -> None:
    """Revisions never fall in a run and follow each write in time."""
    newest: dict[tuple[int, float], int] = {}
    for seen in evidence.load.seen:
        run = (seen.number, seen.started_at)
        before = newest.get(run, 0)
        verdict.check(
            seen.revision >= before,
            f'entry-{seen.number} went from {before} to {seen.revision} at '
            f'{evidence.at(seen.began_at)} s',
        )
        newest[run] = max(before, seen.revision)
    for write in evidence.record.writes:
        if is_in_outage(evidence, write.ended_at):
            continue
        for seen in evidence.load.seen:
            since = seen.began_at - write.ended_at
            if not SECONDS < since < 2 * SECONDS:
                continue
            if not seen.is_ready or seen.is_paused:
                continue
            verdict.check(
                seen.revision >= write.revision,
                f'entry-{seen.number} ready at {seen.revision} of '
                f'{write.revision} {round(since, 1)} s after the write',
            )


def is_in_outage(evidence: Evidence, time: float) -> bool:
    """Tell whether the store was faulty near a time."""
    return any(
        began_at - SECONDS < time < ended_at
        for began_at, ended_at in evidence.record.outages
    )


@condition('no upstream runs more than its slots')
def check_slots(evidence: Evidence, verdict: Verdict) -> None:
    """No upstream had more running than it has slots."""
    for name, ledger in evidence.ledgers.items():
        verdict.check(ledger['peak'] <= SLOTS, f'{name}: {ledger["peak"]}')


def judge(evidence: Evidence) -> dict[str, Verdict]:
    """Return the verdict on each condition, untested ones included."""
    verdicts: dict[str, Verdict] = {}
    for text, function in CONDITIONS.items():
        verdicts[text] = Verdict()
        if function is not None:
            function(evidence, verdicts[text])
    return verdicts
