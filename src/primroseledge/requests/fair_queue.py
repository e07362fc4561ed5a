"""The requests of a cell that wait, in lanes by service, team and entry.

A lane holds the requests of one entry instance in the order in which
they came, so that an entry instance that may get no grant now does not
block the others.
"""

from collections.abc import Callable
from collections.abc import Iterator
from dataclasses import dataclass
from dataclasses import field
from heapq import heappop
from heapq import heappush

from primroseledge.constants import MIN_ATTEMPT_S
from primroseledge.ids import EntryId
from primroseledge.ids import RequestId
from primroseledge.ids import ServiceId
from primroseledge.ids import TeamId
from primroseledge.requests.messages import Ask

LaneKey = tuple[bool, EntryId]


@dataclass(slots=True)
class Waiting:
    """A request in the queue; ``sequence`` orders by arrival."""

    entry: EntryId
    ask: Ask
    deadline: float
    queued_at: float = 0.0
    sequence: int = 0

    @property
    def lane(self) -> LaneKey:
        """Return the lane within the team's queue."""
        return not self.ask.is_urgent, self.entry


@dataclass(slots=True)
class TeamQueue:
    """The waiting requests of one team at one service."""

    lanes: dict[LaneKey, dict[str, Waiting]] = field(default_factory=dict)
    length: int = 0

    def head(
        self, is_eligible: Callable[[EntryId], bool], only_urgent: bool
    ) -> Waiting | None:
        """Return the next request: urgent ones first, then the oldest."""
        best: Waiting | None = None
        for (is_normal, entry), lane in self.lanes.items():
            if (is_normal and only_urgent) or not is_eligible(entry):
                continue
            first = next(iter(lane.values()))
            if best is None or rank(first) < rank(best):
                best = first
        return best

    def newest(self) -> Waiting:
        """Return the request that came last, ordinary ones first."""
        return max(
            (next(reversed(lane.values())) for lane in self.lanes.values()),
            key=rank,
        )


def rank(waiting: Waiting) -> tuple[bool, int]:
    """Return the order within a team."""
    return not waiting.ask.is_urgent, waiting.sequence


@dataclass(slots=True)
class FairQueue:
    """All waiting requests of a cell."""

    services: dict[ServiceId, dict[TeamId, TeamQueue]] = field(
        default_factory=dict
    )
    by_ask: dict[str, Waiting] = field(default_factory=dict)
    guarded: dict[RequestId, str] = field(default_factory=dict)
    deadlines: list[tuple[float, int, str]] = field(default_factory=list)
    counter: int = 0

    def add(self, waiting: Waiting) -> None:
        """Append a request to its lane."""
        ask = waiting.ask
        self.counter += 1
        waiting.sequence = self.counter
        teams = self.services.setdefault(ask.service, {})
        queue = teams.setdefault(ask.team, TeamQueue())
        queue.lanes.setdefault(waiting.lane, {})[ask.ask_id] = waiting
        queue.length += 1
        self.by_ask[ask.ask_id] = waiting
        if not ask.is_idempotent:
            self.guarded[ask.request_id] = ask.ask_id
        heappush(self.deadlines, (waiting.deadline, self.counter, ask.ask_id))

    def remove(self, ask_id: str) -> Waiting | None:
        """Take a request out, wherever it stands."""
        waiting = self.by_ask.pop(ask_id, None)
        if waiting is None:
            return None
        ask = waiting.ask
        if self.guarded.get(ask.request_id) == ask_id:
            del self.guarded[ask.request_id]
        teams = self.services[ask.service]
        queue = teams[ask.team]
        lane = queue.lanes[waiting.lane]
        del lane[ask_id]
        queue.length -= 1
        if not lane:
            del queue.lanes[waiting.lane]
        if not queue.lanes:
            del teams[ask.team]
        if not teams:
            del self.services[ask.service]
        return waiting

    def length(self, service: ServiceId) -> int:
        """Return how many requests wait for a service."""
        teams = self.services.get(service, {})
        return sum(queue.length for queue in teams.values())

    def late(self, now: float) -> Iterator[Waiting]:
        """Take out the requests with too little time left to run."""
        while self.deadlines and self.deadlines[0][0] - now < MIN_ATTEMPT_S:
            _, sequence, ask_id = heappop(self.deadlines)
            waiting = self.by_ask.get(ask_id)
            if waiting is not None and waiting.sequence == sequence:
                self.remove(ask_id)
                yield waiting
