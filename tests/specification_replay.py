"""Carry out the ownership specification's steps on the real cores."""

from typing import Final

from primroseledge.agreement.membership import create_membership
from primroseledge.agreement.owner_record import encode_owner
from primroseledge.agreement.owner_record import owner_key
from primroseledge.agreement.owner_record import OwnerRecord
from primroseledge.agreement.ownership import create_ownership
from primroseledge.agreement.ownership import Ownership
from primroseledge.agreement.ownership_actions import OwnershipAction
from primroseledge.agreement.ownership_actions import SendReport
from primroseledge.agreement.ownership_actions import WriteRecord
from primroseledge.agreement.ownership_actions import WriteResult
from primroseledge.agreement.ownership_settings import OwnershipSettings
from primroseledge.ids import CellId
from primroseledge.ids import EntryId
from primroseledge.ids import Incarnation
from primroseledge.ids import Revision
from primroseledge.ids import WriteId
from primroseledge.requests.messages import Heartbeat
from primroseledge.requests.messages import Report
from primroseledge.requests.messages import ReportRequest
from primroseledge.storage.store import Record
from tests.agreement_store import MemoryStore
from tests.specification import MEMBERS
from tests.specification import NODES

CELL: Final = CellId('main')
TICK_S: Final = 3.0
STEP_S: Final = 0.001
FRESHNESS_S: Final = 3.5
"""One tick old is fresh and two are not, whatever the steps take."""

SETTINGS: Final = OwnershipSettings(
    freshness_s=FRESHNESS_S,
    takeover_delay_s=0.0,
    stagger_s=0.0,
    release_wait_s=0.0,
    report_wait_s=0.0,
)


class Replay:
    """Three real cores and a store, moved by a specification's labels."""

    def __init__(self) -> None:
        self.now = 0.0
        self.store = MemoryStore()
        self.runs = [1, 1, 1]
        first = OwnerRecord(MEMBERS[0], Incarnation(1), 1)  # type: ignore
        self.store.write(
            owner_key(CELL), encode_owner(first), None, WriteId('first')
        )
        self.cores = [self.create(node) for node in NODES]
        # Bring node 0 to the specification's initial state.
        for node in NODES:
            self.read(node)
        self.report(1, 0)
        self.now += 2 * TICK_S
        self.read(0)
        self.become_owner(0)

    def create(self, node: int) -> Ownership:
        """Create the core of a node's present run."""
        membership = create_membership(
            MEMBERS[node], Incarnation(self.runs[node]), MEMBERS, self.now
        )
        core = create_ownership(CELL, membership, SETTINGS)
        core.members = MEMBERS
        # Whether the owner seems lost is free in the specification.
        core.succession.is_lost = (  # type: ignore[method-assign]
            lambda record, members, now: True
        )
        return core

    def step(self, label: str) -> None:
        """Carry out the step that a label names."""
        self.now += STEP_S
        words = label.replace(',', '').split()
        if label == 'tick':
            self.now += TICK_S
        elif words[0] == 'read':
            self.read(int(words[1]))
        elif words[0] == 'take':
            self.take(int(words[1]), is_answered=len(words) == 2)
        elif words[0] == 'report':
            self.report(int(words[1]), int(words[3]))
        elif words[0] == 'vote':
            self.vote(int(words[1]), int(words[3]))
        elif words[0] == 'become':
            self.become_owner(int(words[2]))
        elif words[0] == 'leave':
            self.leave(int(words[1]))
        elif words[0] == 'crash':
            self.crash(int(words[1]))

    def record(self) -> Record | None:
        """Return the cell's record."""
        return self.store.records.get(owner_key(CELL))

    def read(self, node: int) -> None:
        """Read the record."""
        core = self.cores[node]
        actions = core.on_read(self.record(), self.now, self.now)
        self.report_own(node, actions)

    def report_own(self, node: int, actions: list[OwnershipAction]) -> None:
        """Give a taker its own report."""
        core = self.cores[node]
        if core.state.value == 'waiting' and actions:
            report = Report(CELL, core.epoch, ())
            run = Incarnation(self.runs[node])
            core.on_report(MEMBERS[node], run, report, self.now)

    def take(self, node: int, is_answered: bool) -> None:
        """Stand as a candidate and write the next epoch."""
        core = self.cores[node]
        actions = self.stand(core)
        if core.state.value == 'follower':
            # It gave up an earlier write that another has overtaken.
            actions = self.stand(core)
        for write in actions:
            if not isinstance(write, WriteRecord):
                continue
            revision = self.write(write)
            result = WriteResult.DONE if is_answered else WriteResult.UNKNOWN
            after = core.on_write(write.write_id, result, revision, self.now)
            self.report_own(node, after)

    def stand(self, core: Ownership) -> list[OwnershipAction]:
        """Make a follower a candidate that has read the record."""
        core.tick(self.now, MEMBERS)
        return core.on_read(self.record(), self.now, self.now)

    def write(self, write: WriteRecord) -> Revision:
        """Carry out a write of the record."""
        return self.store.write(
            write.key, write.value, write.expected, write.write_id
        )

    def report(self, sender: int, taker: int) -> None:
        """Have a peer obey a taker and report to it."""
        core = self.cores[taker]
        request = ReportRequest(CELL, core.epoch)
        run = Incarnation(self.runs[taker])
        actions = self.cores[sender].on_report_request(
            MEMBERS[taker], run, request
        )
        for action in actions:
            if isinstance(action, SendReport):
                core.on_report(
                    MEMBERS[sender],
                    Incarnation(self.runs[sender]),
                    Report(CELL, action.epoch, ()),
                    self.now,
                )

    def vote(self, sender: int, node: int) -> None:
        """Have a peer's heartbeat arrive."""
        epochs = self.cores[sender].stated_epochs
        heartbeat = Heartbeat(Revision(1), -1.0, epochs=epochs)
        self.cores[node].on_heartbeat(
            MEMBERS[sender], heartbeat, self.now, self.now
        )

    def become_owner(self, node: int) -> None:
        """Let a taker look at the time."""
        self.cores[node].tick(self.now, MEMBERS)

    def leave(self, node: int) -> None:
        """Have the owner release the record."""
        core = self.cores[node]
        for write in core.leave(self.now):
            if isinstance(write, WriteRecord):
                revision = self.write(write)
                core.on_write(
                    write.write_id, WriteResult.DONE, revision, self.now
                )

    def crash(self, node: int) -> None:
        """Start the next run of a node, which has kept nothing."""
        self.runs[node] += 1
        self.cores[node] = self.create(node)

    def acting(self) -> list[EntryId]:
        """Return the nodes that may act."""
        return [core.me for core in self.cores if core.may_act(self.now)]
