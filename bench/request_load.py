"""The load and the upstreams of the bench of requests, in virtual time."""

from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field
from functools import partial
from heapq import heappop
from heapq import heappush
from random import Random
from typing import Protocol

SERVICES = 5
UPSTREAMS = 8
SLOTS = 8
ENTRIES = 7
SHARES = {'quotes': 3, 'sheets': 2, 'digest': 1}
LIMITS = {'quotes': 64, 'sheets': 40, 'digest': 20}
MEAN_RUN_S = 0.4
MEAN_RATE = 64.0
BURST_FACTOR = 5
QUIET_FACTOR = 0.05
BURST_S = 4.0
PERIOD_S = 12.0
SETTLE_S = 1.0
TIMEOUT_S = 10.0
HOP_S = 0.0005


@dataclass(slots=True)
class Request:
    """A request and what became of it."""

    number: int
    service: int
    team: str
    entry: int
    arrived_at: float
    run_s: float
    started_at: float = -1.0
    upstream: int = -1
    hops: int = 0
    overshoots: int = 0
    is_refused: bool = False


class Policy(Protocol):
    """Decides where and when requests run."""

    def arrive(self, request: Request) -> None:
        """Take a request at its entry instance."""

    def ended(self, request: Request) -> None:
        """Take the end of a run."""

    def overshot(self, request: Request) -> None:
        """Take the refusal of an upstream without a free slot."""


@dataclass(slots=True)
class World:
    """Time, upstreams and what was measured."""

    random: Random
    now: float = 0.0
    events: list[tuple[float, int, Callable[[], None]]] = field(
        default_factory=list
    )
    count: int = 0
    used: dict[tuple[int, int], int] = field(default_factory=dict)
    running: dict[str, int] = field(
        default_factory=lambda: dict.fromkeys(SHARES, 0)
    )
    requests: list[Request] = field(default_factory=list)
    attempts: int = 0
    over_limit: int = 0
    got: dict[str, float] = field(
        default_factory=lambda: dict.fromkeys(SHARES, 0.0)
    )

    def later(self, delay_s: float, action: Callable[[], None]) -> None:
        """Do something after a time."""
        self.count += 1
        heappush(self.events, (self.now + delay_s, self.count, action))

    def run(self, until: float) -> None:
        """Let time pass."""
        while self.events and self.events[0][0] <= until:
            self.now, _, action = heappop(self.events)
            action()

    def load(self, policy: Policy) -> None:
        """Make each queue in turn ask five times its mean."""
        for service in range(SERVICES):
            time = 0.0
            while time < SERVICES * PERIOD_S:
                began_at = service * PERIOD_S
                is_burst = began_at <= time < began_at + BURST_S
                factor = BURST_FACTOR if is_burst else QUIET_FACTOR
                time += self.random.expovariate(MEAN_RATE * factor)
                request = Request(
                    0,
                    service,
                    self.random.choice(list(SHARES)),
                    self.random.randrange(ENTRIES),
                    time,
                    self.random.expovariate(1 / MEAN_RUN_S),
                )
                self.requests.append(request)
        for number, request in enumerate(self.requests):
            request.number = number
            self.later(request.arrived_at, partial(policy.arrive, request))

    def start(self, request: Request, upstream: int, policy: Policy) -> None:
        """Make an attempt at an upstream."""
        key = request.service, upstream
        if self.used.get(key, 0) >= SLOTS:
            request.overshoots += 1
            self.later(HOP_S, lambda: policy.overshot(request))
            return
        self.attempts += 1
        request.upstream, request.started_at = upstream, self.now
        self.used[key] = self.used.get(key, 0) + 1
        self.running[request.team] += 1
        if self.running[request.team] > LIMITS[request.team]:
            self.over_limit += 1
        self.later(request.run_s, lambda: self.finish(request, policy))

    def finish(self, request: Request, policy: Policy) -> None:
        """End a run, and count its slot time while all was full."""
        self.used[request.service, request.upstream] -= 1
        self.running[request.team] -= 1
        begin = request.service * PERIOD_S + SETTLE_S
        end = request.service * PERIOD_S + BURST_S
        overlap_s = min(self.now, end) - max(request.started_at, begin)
        self.got[request.team] += max(0.0, overlap_s)
        policy.ended(request)

    def result(self) -> dict[str, object]:
        """Return the measures."""
        started = [r for r in self.requests if r.started_at >= 0]
        waits = sorted(r.started_at - r.arrived_at for r in started)
        total = sum(self.got.values())
        due = {t: total * s / sum(SHARES.values()) for t, s in SHARES.items()}
        error = sum(abs(self.got[t] - due[t]) for t in SHARES) / total
        window_s = SERVICES * (BURST_S - SETTLE_S)
        return {
            'requests': len(self.requests),
            'started': len(started),
            'refused': sum(r.is_refused for r in self.requests),
            'wait_p50_s': round(waits[len(waits) // 2], 3),
            'wait_p99_s': round(waits[len(waits) * 99 // 100], 3),
            'share_error': round(error, 4),
            'starts_over_limit': self.over_limit,
            'amplification': round(self.attempts / len(started), 4),
            'overshoots': sum(r.overshoots for r in self.requests),
            'slot_use': round(total / (window_s * UPSTREAMS * SLOTS), 4),
            'hops': round(sum(r.hops for r in started) / len(started), 3),
        }
