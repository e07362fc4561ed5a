"""Answers to operators who ask about a request, job, instance or pool."""

from collections.abc import Callable
from collections.abc import Iterator
from dataclasses import dataclass
from dataclasses import field
from queue import SimpleQueue
from typing import Final

from msgspec import Struct

from primroseledge.gateway.node import Node
from primroseledge.ids import CellId
from primroseledge.ids import InstanceId
from primroseledge.ids import PoolId
from primroseledge.ids import RequestId
from primroseledge.operators.explain import explain
from primroseledge.requests.actions import Action
from primroseledge.requests.broken_attempts import MAX_BROKEN_ATTEMPTS
from primroseledge.requests.dispatcher import Dispatcher
from primroseledge.requests.messages import EndState


class Answer(Struct, frozen=True):
    """What is known of a subject, one of a list."""

    state: str
    explanation: str


@dataclass(frozen=True, slots=True)
class Inquiry:
    """A question to the loop; the answers come in ``reply``."""

    name: str
    reply: SimpleQueue[list[Answer]] = field(default_factory=SimpleQueue)

    def deliver(self, node: Node, now: float) -> list[Action]:
        """Answer it from what the node knows."""
        self.reply.put(find_answers(node, self.name, now))
        return []


Finder = Callable[[Node, str, float], Iterator[Answer]]
FINDERS: Final[list[Finder]] = []


def finder(function: Finder) -> Finder:
    """Register a source of answers."""
    FINDERS.append(function)
    return function


def find_answers(node: Node, name: str, now: float) -> list[Answer]:
    """Return all that a node knows of a name; empty when nothing."""
    return [answer for find in FINDERS for answer in find(node, name, now)]


@finder
def find_calls(node: Node, name: str, now: float) -> Iterator[Answer]:
    """Find the calls that this entry instance has open."""
    for call in node.entry.calls.values():
        if call.arrival.request_id != name:
            continue
        if call.grant is not None:
            age_s = now - call.granted_at
            yield Answer(
                'running',
                f'on {call.grant.upstream} for {age_s:.1f} s, attempt'
                f' {call.attempt}',
            )
            continue
        cell = call.arrival.cell
        owner = node.owner_of(cell) or 'none known'
        left_s = call.arrival.deadline - now
        yield Answer(
            'waiting',
            f'for leave of the owner of cell {cell} ({owner}), attempt'
            f' {call.attempt}, {left_s:.1f} s left',
        )


@finder
def find_ended(node: Node, name: str, now: float) -> Iterator[Answer]:
    """Find the attempts that this entry instance ended."""
    for ended in node.entry.history.entries.values():
        carried = ended.carried
        if carried.request_id != name:
            continue
        if carried.end is EndState.ENDED:
            yield Answer('finished', f'ran on {carried.upstream}')
        else:
            yield Answer(
                'unknown', f'may have run on {carried.upstream}; no answer'
            )


@finder
def find_queued(node: Node, name: str, now: float) -> Iterator[Answer]:
    """Find what waits or runs in the cells that this node owns."""
    for cell, dispatcher in node.dispatchers.items():
        yield from find_waiting(dispatcher, cell, name, now)
        for running in dispatcher.work.ledger.grants.values():
            if running.request_id != name:
                continue
            state = 'unknown' if running.is_unknown else 'running'
            left_s = running.expires_at - now
            yield Answer(
                state,
                f'granted to {running.entry} on {running.upstream}; counts'
                f' for at most {left_s:.1f} s more',
            )


@finder
def find_broken(node: Node, name: str, now: float) -> Iterator[Answer]:
    """Find the broken attempts of a request in the cells owned here."""
    for dispatcher in node.dispatchers.values():
        broken = dispatcher.work.broken
        grants = broken.by_request.get(RequestId(name))
        if not grants:
            continue
        is_given_up = broken.is_given_up(RequestId(name))
        yield Answer(
            'given up' if is_given_up else 'suspected',
            f'upstreams broke off {len(grants)} of its attempts; after'
            f' {MAX_BROKEN_ATTEMPTS} it is not tried again',
        )


def find_waiting(
    dispatcher: Dispatcher, cell: CellId, name: str, now: float
) -> Iterator[Answer]:
    """Find what waits in a cell's queue, and say for what."""
    for waiting in dispatcher.admission.queue.by_ask.values():
        ask = waiting.ask
        if ask.request_id != name:
            continue
        length = dispatcher.admission.queue.length(ask.service)
        service = dispatcher.configuration.services.get(ask.service)
        pool = PoolId(service.pool) if service else PoolId('')
        limits = dispatcher.work.limits
        if not limits.has_room(ask.team):
            reason = f'team {ask.team} is at its limit'
        elif not limits.has_entry_room(ask.team, waiting.entry):
            reason = f'{waiting.entry} carries its part of {ask.team}'
        elif not dispatcher.is_heard(waiting.entry, now):
            reason = f'{waiting.entry} is not heard'
        elif not dispatcher.work.slots.has_free(pool, ask.is_urgent):
            reason = f'pool {pool} has no free slot'
        else:
            reason = 'it is not its turn'
        yield Answer(
            'waiting',
            f'in cell {cell}, one of {length} of service {ask.service}:'
            f' {reason}',
        )


@finder
def find_jobs(node: Node, name: str, now: float) -> Iterator[Answer]:
    """Find a job in the newest round of the controllers."""
    job = node.policy.news.known_jobs.get(name)
    if job is not None:
        workers = ', '.join(job.workers)
        yield Answer(
            job.state.value,
            f'job of team {job.team}' + (f' on {workers}' if workers else ''),
        )


@finder
def find_held(node: Node, name: str, now: float) -> Iterator[Answer]:
    """Find why a subject waits; a pool has all that waits in it."""
    news = node.policy.news
    held = list(news.held())
    report = news.pools.get(PoolId(name))
    found = [item for item in held if item.subject == name]
    if report is not None:
        found = list(report.held)
    for item in found:
        yield Answer('waiting', explain(item))


@finder
def find_instance(node: Node, name: str, now: float) -> Iterator[Answer]:
    """Find an instance that gets no new work, and say why."""
    instance = node.configuration.instances.get(InstanceId(name))
    if instance is None:
        return
    if instance.is_draining:
        yield Answer('draining', f'it is drained in pool {instance.pool}')
    if instance.id in node.policy.leaving:
        yield Answer('leaving', 'the platform says that it leaves or is down')
