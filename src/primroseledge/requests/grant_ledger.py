"""The grants of a cell's owner that are not proved ended."""

from collections.abc import Iterator
from dataclasses import dataclass
from dataclasses import field
from heapq import heappop
from heapq import heappush

from primroseledge.ids import EntryId
from primroseledge.ids import GrantId
from primroseledge.ids import InstanceId
from primroseledge.ids import RequestId
from primroseledge.ids import ServiceId
from primroseledge.ids import TeamId
from primroseledge.requests.messages import Carried
from primroseledge.requests.messages import EndState
from primroseledge.requests.messages import Grant


@dataclass(slots=True)
class Running:
    """A granted attempt; it counts until it is proved ended.

    ``is_unknown`` says that its entry instance cannot tell how it
    ended, which nothing that comes later changes.
    """

    entry: EntryId
    ask_id: str
    request_id: RequestId
    team: TeamId
    service: ServiceId
    upstream: InstanceId
    is_idempotent: bool
    expires_at: float
    issued_at: float = 0.0
    granted_at: float | None = None
    is_unknown: bool = False


@dataclass(slots=True)
class GrantLedger:
    """All attempts that count, and the messages that granted them."""

    grants: dict[GrantId, Running] = field(default_factory=dict)
    by_ask: dict[str, Grant] = field(default_factory=dict)
    expiries: list[tuple[float, GrantId]] = field(default_factory=list)

    def add(self, grant_id: GrantId, running: Running) -> None:
        """Take an attempt in."""
        self.grants[grant_id] = running
        heappush(self.expiries, (running.expires_at, grant_id))

    def remove(self, grant_id: GrantId) -> Running:
        """Take an ended attempt out."""
        running = self.grants.pop(grant_id)
        self.by_ask.pop(running.ask_id, None)
        return running

    def expired(self, now: float) -> Iterator[GrantId]:
        """Yield the attempts that must have ended by now."""
        while self.expiries and self.expiries[0][0] <= now:
            _, grant_id = heappop(self.expiries)
            if grant_id in self.grants:
                yield grant_id

    def export(self, now: float) -> tuple[Carried, ...]:
        """Return all attempts, for the next owner."""
        return tuple(
            Carried(
                grant_id=grant_id,
                request_id=running.request_id,
                team=running.team,
                service=running.service,
                upstream=running.upstream,
                is_idempotent=running.is_idempotent,
                end=EndState.UNKNOWN if running.is_unknown else None,
                remaining_s=running.expires_at - now,
                entry=running.entry,
                issued_at=running.issued_at,
            )
            for grant_id, running in self.grants.items()
        )
