"""Entry and dispatcher cores over an in-memory network, in virtual time.

The upstreams' ledger is the oracle: what ran, when, and for whom. The
choice of an owner is given here; its rules are tested elsewhere.
"""

from collections.abc import Callable
from heapq import heappop
from heapq import heappush
from random import Random

from primroseledge.agreement.configuration import create_configuration
from primroseledge.constants import GRANT_VALID_S
from primroseledge.constants import RUN_MARGIN_S
from primroseledge.ids import EntryId
from primroseledge.ids import Epoch
from primroseledge.ids import Incarnation
from primroseledge.ids import RequestId
from primroseledge.requests.actions import Action
from primroseledge.requests.actions import SendToEntry
from primroseledge.requests.actions import SendToOwner
from primroseledge.requests.actions import StartAttempt
from primroseledge.requests.attempt_end import AttemptEnd
from primroseledge.requests.dispatcher import create_dispatcher
from primroseledge.requests.dispatcher import Dispatcher
from primroseledge.requests.entry import EntryCore
from primroseledge.requests.messages import Ask
from primroseledge.requests.messages import Cancel
from primroseledge.requests.messages import Done
from primroseledge.requests.messages import DoneAck
from primroseledge.requests.messages import Grant
from primroseledge.requests.messages import Message
from primroseledge.requests.messages import Refuse
from primroseledge.requests.messages import Report
from primroseledge.requests.open_call import OwnerMark
from primroseledge.requests.retry_budget import RetryBudget
from tests.requests_judge import Judge
from tests.requests_records import CELL
from tests.requests_records import create_arrival
from tests.requests_records import create_delta
from tests.requests_records import Execution
from tests.requests_records import Faults
from tests.requests_records import Host
from tests.requests_records import LIMITS
from tests.requests_records import LINK_S
from tests.requests_records import REPORT_S
from tests.requests_records import RUN_LIMIT_S
from tests.requests_records import Sending
from tests.requests_records import SKEW_S
from tests.requests_records import SLOTS
from tests.requests_records import TICK_S
from tests.requests_records import WALL_S
from tests.requests_records import WINDOW_S


class RequestsFleet:
    """Entry instances, upstreams, the network and the time."""

    def __init__(self, size: int, upstreams: int, seed: int) -> None:
        self.random = Random(seed)
        self.now = 0.0
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.count = 0
        self.faults = Faults()
        self.revision = 0
        self.configuration = create_configuration()
        self.entries = [EntryId(f'e{n}') for n in range(size)]
        self.draining: dict[str, float] = {}
        self.upstreams = [f'u{n}' for n in range(upstreams)]
        self.running: list[Execution] = []
        self.judge = Judge()
        self.sendings = self.judge.sendings
        self.problems = self.judge.problems
        self.hosts: dict[EntryId, Host] = {}
        self.epoch = 0
        self.reports: dict[EntryId, Report] = {}
        self.configure()
        for entry in self.entries:
            self.hosts[entry] = self.new_host(entry, 1)
        self.owner = self.entries[0]
        self.take_over(self.owner)
        self.run(1.0)

    def configure(self, without: str = '') -> None:
        """Put the documents in force everywhere."""
        self.revision += 1
        delta = create_delta(
            self.revision, self.entries, self.upstreams, self.draining, without
        )
        self.configuration.apply(delta)

    def new_host(self, entry: EntryId, incarnation: int) -> Host:
        core = EntryCore(
            entry, Incarnation(incarnation), 'north-1', RetryBudget(0.1)
        )
        offset = 1000.0 * incarnation + 10.0 * len(self.hosts)
        wall = self.random.uniform(-0.9, 0.9)
        host = Host(core, offset, WALL_S + wall, EntryId('e0'))
        host.born_at = self.now
        self.later(TICK_S, lambda: self.tick(host))
        return host

    def later(self, delay_s: float, action: Callable[[], None]) -> None:
        self.count += 1
        heappush(self.events, (self.now + delay_s, self.count, action))

    def run(self, seconds: float) -> None:
        end = self.now + seconds
        while self.events and self.events[0][0] <= end:
            self.now, _, action = heappop(self.events)
            action()
        self.now = end

    def at_host(self, host: Host, action: Callable[[float], None]) -> None:
        """Do something at a host with its clock, when it runs."""
        if host.is_dead:
            return
        if self.now < host.paused_until:
            wait_s = host.paused_until - self.now
            self.later(wait_s, lambda: self.at_host(host, action))
            return
        action(self.now + host.clock_offset)

    def tick(self, host: Host) -> None:
        if host.is_dead:
            return

        def act(now: float) -> None:
            self.perform(host, [*host.core.tick(now)])
            if host.dispatcher is not None:
                self.perform(host, [*host.dispatcher.tick(now)])
                self.send_marks(host, OwnerMark(host.dispatcher.epoch, now))
            self.transmit(host, None, self.hosts[host.owner].core.entry)

        self.at_host(host, act)
        wait_s = max(TICK_S, host.paused_until - self.now)
        self.later(wait_s, lambda: self.tick(host))

    def perform(self, host: Host, actions: list[Action]) -> None:
        for action in actions:
            if isinstance(action, SendToOwner):
                self.transmit(host, action.message, host.owner)
            elif isinstance(action, SendToEntry):
                self.transmit(host, action.message, action.entry)
            elif isinstance(action, StartAttempt):
                self.later(LINK_S, lambda a=action: self.carry(host, a))
            else:
                self.judge.check_answer(action, self.now)

    def send_marks(self, owner: Host, mark: OwnerMark) -> None:
        """Let entry instances hear the owner's heartbeats, but for some."""

        def arrive(core: EntryCore) -> None:
            known = core.owner_marks.get(CELL, mark)
            if core.epochs.get(CELL, mark.epoch) == mark.epoch:
                newest = max(known, mark, key=lambda m: (m.epoch, m.sent_at))
                core.owner_marks[CELL] = newest

        for host in self.hosts.values():
            ends = {owner.core.entry, host.core.entry}
            is_cut = len(ends) > 1 and bool(ends & self.faults.cut)
            if is_cut or self.random.random() < self.faults.drop:
                continue
            delay_s = LINK_S + self.random.random() * self.faults.jitter_s
            self.later(
                delay_s,
                lambda h=host: self.at_host(h, lambda _: arrive(h.core)),
            )

    def transmit(
        self, host: Host, message: Message | None, to: EntryId
    ) -> None:
        """Send a message, or a heartbeat, with the network's faults."""
        sender = host.core.entry
        sent_at = self.now + host.clock_offset
        is_cut = sender != to and bool({sender, to} & self.faults.cut)
        target = self.hosts[to]

        def arrive(now: float) -> None:
            if message is not None:
                self.receive(target, sender, message, now)
            elif target.dispatcher is not None and not host.is_dead:
                target.dispatcher.heard(sender, sent_at, now)

        copies = 1 + (self.random.random() < self.faults.duplicate)
        for _ in range(copies):
            if is_cut or self.random.random() < self.faults.drop:
                continue
            delay_s = LINK_S + self.random.random() * self.faults.jitter_s
            self.later(delay_s, lambda: self.at_host(target, arrive))

    def receive(
        self, host: Host, sender: EntryId, message: Message, now: float
    ) -> None:
        core, dispatcher = host.core, host.dispatcher
        actions: list[Action] = []
        if isinstance(message, Grant):
            actions += core.granted(message, now)
        elif isinstance(message, Refuse):
            actions += core.refused(message, now)
        elif isinstance(message, DoneAck):
            core.acknowledged(message)
        elif isinstance(message, Report):
            if message.epoch == self.epoch:
                self.reports[sender] = message
        elif dispatcher is None:
            return
        elif isinstance(message, Ask):
            actions += dispatcher.asked(sender, message, now)
        elif isinstance(message, Done):
            actions += dispatcher.done(sender, message, now)
        elif isinstance(message, Cancel):
            dispatcher.cancelled(message, now)
        self.perform(host, actions)

    def carry(self, host: Host, start: StartAttempt) -> None:
        """Make an attempt as the carrier would."""

        def begin(now: float) -> None:
            if now >= start.start_by:
                self.end(host, start, AttemptEnd.TOO_LATE, 0.0)
            elif self.random.random() < self.faults.no_connection:
                self.end(host, start, AttemptEnd.NOT_SENT, LINK_S)
            else:
                self.execute(host, start)

        self.at_host(host, begin)

    def execute(self, host: Host, start: StartAttempt) -> None:
        name = start.upstream
        used = sum(e.upstream == name for e in self.running)
        if used >= SLOTS:
            self.end(host, start, AttemptEnd.REFUSED, LINK_S)
            return
        duration_s = self.random.choice([0.05, 0.2, 1.0, RUN_LIMIT_S])
        execution = Execution(
            start.request_id, start.handle, start.team, name, self.now
        )
        self.check_start(execution)
        execution.ends_at += duration_s
        self.later(duration_s, lambda: self.running.remove(execution))
        is_lost = self.random.random() < self.faults.lost_answers
        if is_lost or duration_s >= start.timeout_s:
            wait_s = self.random.uniform(0, start.timeout_s)
            self.end(host, start, AttemptEnd.LOST, wait_s)
        else:
            self.end(host, start, AttemptEnd.ANSWERED, duration_s)

    def check_start(self, execution: Execution) -> None:
        """Count a run, and compare it with what must always hold."""
        self.running.append(execution)
        self.judge.check_run(execution, self.now)
        count = sum(e.team == execution.team for e in self.running)
        if count > LIMITS[execution.team]:
            self.problems.append(f'{execution.team} has {count} running')
        drained_at = self.draining.get(execution.upstream, self.now)
        if self.now > drained_at + 3.0:
            self.problems.append(f'{execution.upstream} got work late')

    def end(
        self, host: Host, start: StartAttempt, end: AttemptEnd, wait_s: float
    ) -> None:
        def report(now: float) -> None:
            self.perform(
                host, [*host.core.attempt_ended(start.handle, end, now)]
            )

        self.later(wait_s, lambda: self.at_host(host, report))

    def call(
        self,
        entry: EntryId,
        request_id: str,
        issued_at: float,
        team: str,
        is_idempotent: bool,
        timeout_s: float,
    ) -> None:
        """Send a request to an entry instance."""
        host = self.hosts[entry]
        handle = len(self.sendings) + 1
        typed_id = RequestId(request_id)

        def arrive(now: float) -> None:
            if handle in self.sendings:
                return
            self.sendings[handle] = Sending(
                typed_id, is_idempotent, entry, self.now + timeout_s
            )
            self.sendings[handle].began_at = self.now
            arrival = create_arrival(
                handle, self.sendings[handle], team, now + timeout_s, issued_at
            )
            self.perform(host, [*host.core.arrive(arrival, now)])

        if self.now >= host.paused_until:
            self.at_host(host, arrive)

    def crash(self, entry: EntryId) -> None:
        """Kill an entry instance and start its next run."""
        old = self.hosts[entry]
        old.is_dead = True
        for sending in self.sendings.values():
            if sending.entry == entry:
                sending.is_over = True
        new = self.new_host(entry, old.core.incarnation + 1)
        new.owner = self.owner
        self.hosts[entry] = new
        new.core.epochs[CELL] = Epoch(self.epoch)

    def take_over(self, entry: EntryId) -> None:
        """Let another entry instance own the cell.

        The last owner, if it lives, stops at once: ownership waits for
        that. It hands over when it can be reached.
        """
        last = self.hosts[self.owner].dispatcher
        for host in self.hosts.values():
            if host.dispatcher is not None:
                host.dispatcher.close()
                host.dispatcher = None
        previous, self.owner = self.owner, entry
        self.epoch += 1
        epoch = Epoch(self.epoch)
        self.reports = {}
        owner = self.hosts[entry]
        dispatcher = create_dispatcher(
            CELL, epoch, self.configuration, WINDOW_S, SKEW_S
        )
        owner.dispatcher = dispatcher
        for host in self.hosts.values():
            is_reached = host is owner or (
                not {host.core.entry, entry} & self.faults.cut
            )
            if is_reached:
                is_last = host.core.entry == previous
                self.report(host, epoch, last if is_last else None)
            else:
                self.later(4.0, lambda h=host: self.follow(h))

        def begin(now: float) -> None:
            oldest = self.now - RUN_LIMIT_S - GRANT_VALID_S - RUN_MARGIN_S
            unreported = {
                other
                for other, host in self.hosts.items()
                if other not in self.reports or host.born_at >= oldest
            }
            wait_s = GRANT_VALID_S + RUN_LIMIT_S + RUN_MARGIN_S
            wall = self.now + owner.wall_offset
            if owner.dispatcher is dispatcher:
                actions = dispatcher.begin(
                    self.reports, unreported, now + wait_s, now, wall
                )
                self.perform(owner, [*actions])

        self.later(REPORT_S, lambda: self.at_host(owner, begin))

    def report(
        self, host: Host, epoch: Epoch, last: Dispatcher | None
    ) -> None:
        """Let a host obey a new epoch and report."""

        def act(now: float) -> None:
            if epoch != self.epoch:
                return
            host.owner = self.owner
            handover = None if last is None else last.hand_over(now)
            carried = host.core.carried(CELL, now)
            report = Report(CELL, epoch, carried, handover)
            self.transmit(host, report, self.owner)
            actions = host.core.owner_changed(CELL, now, epoch)
            self.perform(host, [*actions])

        self.at_host(host, act)

    def follow(self, host: Host) -> None:
        """Let a host that was cut off learn of the owner."""
        if host.core.entry in self.faults.cut:
            self.later(1.0, lambda: self.follow(host))
            return

        def act(now: float) -> None:
            host.owner = self.owner
            epoch = Epoch(self.epoch)
            self.perform(host, [*host.core.owner_changed(CELL, now, epoch)])

        self.at_host(host, act)
