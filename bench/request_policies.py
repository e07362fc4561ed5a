"""The policies that the bench of requests compares."""

from collections.abc import Callable
from functools import partial
from typing import Final

from bench.request_load import ENTRIES
from bench.request_load import HOP_S
from bench.request_load import LIMITS
from bench.request_load import Policy
from bench.request_load import Request
from bench.request_load import SERVICES
from bench.request_load import SHARES
from bench.request_load import SLOTS
from bench.request_load import TIMEOUT_S
from bench.request_load import UPSTREAMS
from bench.request_load import World
from primroseledge.agreement.configuration import Configuration
from primroseledge.agreement.configuration import create_configuration
from primroseledge.ids import CellId
from primroseledge.ids import EntryId
from primroseledge.ids import Epoch
from primroseledge.ids import GrantId
from primroseledge.ids import RequestId
from primroseledge.ids import Revision
from primroseledge.ids import ServiceId
from primroseledge.ids import TeamId
from primroseledge.requests.actions import SendToEntry
from primroseledge.requests.dispatcher import create_dispatcher
from primroseledge.requests.messages import Ask
from primroseledge.requests.messages import ConfigChange
from primroseledge.requests.messages import ConfigDelta
from primroseledge.requests.messages import Done
from primroseledge.requests.messages import EndState
from primroseledge.requests.messages import Grant
from primroseledge.requests.messages import Refuse
from primroseledge.storage.documents import document_key
from primroseledge.storage.documents import encode_document
from primroseledge.storage.documents import Instance
from primroseledge.storage.documents import Members
from primroseledge.storage.documents import Placement
from primroseledge.storage.documents import Pool
from primroseledge.storage.documents import Service
from primroseledge.storage.documents import Team

CELL: Final = CellId('main')
RETRY_S: Final = 0.1
STALE_S: Final = 0.25
TICK_S: Final = 0.05

POLICIES: dict[str, Callable[[World], Policy]] = {}


def policy(name: str) -> Callable[[type], type]:
    """Register a policy."""

    def register(kind: type) -> type:
        POLICIES[name] = kind
        return kind

    return register


def configuration_of(
    services: int, upstreams: int, slots: int
) -> Configuration:
    """Return documents of a fleet of this size."""
    configuration = create_configuration()
    instances = {
        f'u{service}-{number}': Instance(
            f'u{service}-{number}',
            f'pool-{service}',
            f'zone-{number % 4}',
            'rack-1',
            'none',
            slots,
        )
        for service in range(services)
        for number in range(upstreams)
    }
    entries = tuple(EntryId(f'e{n}') for n in range(ENTRIES))
    documents: list[tuple[str, object]] = [
        ('members', Members('all', entries)),
        ('placement', Placement('0', instances)),
    ]
    for n in range(services):
        documents.append(('pool', Pool(f'pool-{n}')))
        service = Service(f's{n}', 'quotes', f'pool-{n}', queue_limit=5000)
        documents.append(('service', service))
    documents += [
        ('team', Team(team, share, LIMITS[team]))
        for team, share in SHARES.items()
    ]
    changes = tuple(
        ConfigChange(
            document_key(kind, document.id),  # type: ignore[attr-defined]
            encode_document(document),  # type: ignore[arg-type]
            Revision(1),
        )
        for kind, document in documents
    )
    configuration.apply(ConfigDelta(Revision(0), Revision(1), changes))
    return configuration


@policy('owner of the cell')
class OwnerPolicy:
    """The product's dispatcher on the first entry instance."""

    def __init__(self, world: World) -> None:
        self.world = world
        self.dispatcher = create_dispatcher(
            CELL, Epoch(1), configuration_of(SERVICES, UPSTREAMS, SLOTS)
        )
        self.dispatcher.begin({}, (), 0.0, 0.0, 0.0)
        self.grants: dict[int, GrantId] = {}
        self.tick()

    def tick(self) -> None:
        """Let the owner act on the time."""
        now = self.world.now
        for entry in range(ENTRIES):
            self.dispatcher.heard(EntryId(f'e{entry}'), now, now)
        self.perform(self.dispatcher.tick(now))
        self.world.later(TICK_S, self.tick)

    def arrive(self, request: Request) -> None:
        """Ask the owner."""
        ask = Ask(
            CELL,
            str(request.number),
            RequestId(str(request.number)),
            TeamId(request.team),
            ServiceId(f's{request.service}'),
            True,
            False,
            TIMEOUT_S,
            zone=f'zone-{request.entry % 4}',
        )
        delay_s = HOP_S if request.entry else 0.0
        request.hops += 2 if request.entry else 0
        entry = EntryId(f'e{request.entry}')
        self.world.later(
            delay_s,
            lambda: self.perform(
                self.dispatcher.asked(entry, ask, self.world.now)
            ),
        )

    def perform(self, actions: list[SendToEntry]) -> None:
        """Carry out what the owner says, one hop later."""
        for action in actions:
            message = action.message
            delay_s = HOP_S if action.entry != 'e0' else 0.0
            if isinstance(message, Refuse):
                request = self.world.requests[int(message.ask_id)]
                request.is_refused = True
            elif isinstance(message, Grant):
                self.world.later(delay_s, partial(self.start, message))

    def start(self, grant: Grant) -> None:
        """Start a granted attempt."""
        request = self.world.requests[int(grant.ask_id)]
        self.grants[request.number] = grant.grant_id
        upstream = int(grant.upstream.partition('-')[2])
        self.world.start(request, upstream, self)

    def ended(self, request: Request) -> None:
        """Tell the owner."""
        self.finish(request, EndState.ENDED)

    def overshot(self, request: Request) -> None:
        """Tell the owner that the upstream was full."""
        self.finish(request, EndState.NOT_RUN)
        self.world.later(RETRY_S, lambda: self.arrive(request))

    def finish(self, request: Request, end: EndState) -> None:
        """Send the end of an attempt."""
        done = Done(CELL, self.grants.pop(request.number), end)
        entry = EntryId(f'e{request.entry}')
        delay_s = HOP_S if request.entry else 0.0
        self.world.later(
            delay_s,
            lambda: self.perform(
                self.dispatcher.done(entry, done, self.world.now)
            ),
        )


class LocalPolicy:
    """Each entry instance by itself, with a first-come queue."""

    def __init__(self, world: World) -> None:
        self.world = world
        self.turn = 0
        self.queues: dict[tuple[int, int], list[Request]] = {}
        self.carried: dict[tuple[int, str], int] = {}
        self.own: dict[tuple[int, int, int], int] = {}

    def arrive(self, request: Request) -> None:
        """Queue a request at its entry instance."""
        key = request.entry, request.service
        self.queues.setdefault(key, []).append(request)
        self.serve(*key)

    def serve(self, entry: int, service: int) -> None:
        """Start what may start, in order of arrival."""
        queue = self.queues.get((entry, service), [])
        for request in list(queue):
            if self.world.now - request.arrived_at > TIMEOUT_S:
                request.is_refused = True
                queue.remove(request)
                continue
            if not self.may_start(request):
                continue
            upstream = self.choose(request)
            if upstream is None:
                return
            queue.remove(request)
            self.count(request, upstream, 1)
            self.world.start(request, upstream, self)

    def count(self, request: Request, upstream: int, change: int) -> None:
        """Count what this entry instance has running."""
        key = request.entry, request.team
        self.carried[key] = self.carried.get(key, 0) + change
        place = request.entry, request.service, upstream
        self.own[place] = self.own.get(place, 0) + change
        request.upstream = upstream

    def may_start(self, request: Request) -> bool:
        """Tell whether the team's limit allows it here."""
        return True

    def choose(self, request: Request) -> int | None:
        """Return the upstream to try."""
        self.turn += 1
        return self.turn % UPSTREAMS

    def ended(self, request: Request) -> None:
        """Start the next ones."""
        self.count(request, request.upstream, -1)
        for service in range(SERVICES):
            self.serve(request.entry, service)

    def overshot(self, request: Request) -> None:
        """Try again after a pause."""
        self.count(request, request.upstream, -1)
        if self.world.now - request.arrived_at > TIMEOUT_S:
            request.is_refused = True
            return
        self.world.later(RETRY_S, lambda: self.arrive(request))


@policy('round robin, first come')
class RoundRobinPolicy(LocalPolicy):
    """Knows neither slots nor limits."""


@policy('static split of limits and slots')
class StaticPolicy(LocalPolicy):
    """Gives each entry instance an equal, fixed part."""

    def may_start(self, request: Request) -> bool:
        """Tell whether the team's part of the limit has room."""
        part = max(1, LIMITS[request.team] // ENTRIES)
        key = request.entry, request.team
        return self.carried.get(key, 0) < part

    def choose(self, request: Request) -> int | None:
        """Return an upstream with a slot of this entry instance."""
        part = max(1, SLOTS // ENTRIES)
        for upstream in range(UPSTREAMS):
            place = request.entry, request.service, upstream
            if self.own.get(place, 0) < part:
                return upstream
        return None


@policy('two choices on stale counts')
class TwoChoicesPolicy(LocalPolicy):
    """Picks the freer of two by counts that are a moment old."""

    def __init__(self, world: World) -> None:
        super().__init__(world)
        self.seen: dict[tuple[int, int], int] = {}
        self.look()

    def look(self) -> None:
        """Take new counts of all upstreams."""
        self.seen = dict(self.world.used)
        self.world.later(STALE_S, self.look)

    def choose(self, request: Request) -> int | None:
        """Return the freer one of two, by the last look."""
        pair = self.world.random.sample(range(UPSTREAMS), 2)
        return min(pair, key=lambda u: self.seen.get((request.service, u), 0))
