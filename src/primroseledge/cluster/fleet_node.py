"""State and decisions of one entry instance.

The node serves or forwards callers' requests and claims the ownership of the
fleet when there is no owner. While it is the owner, it runs the engine, which
schedules jobs and maintenance.

It performs no I/O and reads no clock: it is given the events of threads and
peers with the current time, and returns commands for them. Only the node
loop calls it, from one thread.

A call that takes an instance out of service is a request to the platform to
start maintenance of an instance or to move it to another pool.
"""

from dataclasses import dataclass
from dataclasses import field
from typing import Any
from typing import Final

from primroseledge.cluster.claim_order import claim_wait_s
from primroseledge.cluster.commands import AnswerCaller
from primroseledge.cluster.commands import BatchStored
from primroseledge.cluster.commands import ClaimLost
from primroseledge.cluster.commands import ClaimOwner
from primroseledge.cluster.commands import ClaimWon
from primroseledge.cluster.commands import InstanceReported
from primroseledge.cluster.commands import JobsRestored
from primroseledge.cluster.commands import LeaseRenewed
from primroseledge.cluster.commands import ListWorkers
from primroseledge.cluster.commands import OwnerReleased
from primroseledge.cluster.commands import OwnershipLost
from primroseledge.cluster.commands import ReleaseOwner
from primroseledge.cluster.commands import ReplyToPeer
from primroseledge.cluster.commands import RestoreJobs
from primroseledge.cluster.commands import SendToPeer
from primroseledge.cluster.commands import StoreBatch
from primroseledge.cluster.commands import WatchedKeysRead
from primroseledge.cluster.commands import WorkerListFailed
from primroseledge.cluster.commands import WorkerReport
from primroseledge.cluster.commands import WorkersListed
from primroseledge.cluster.departure import Departure
from primroseledge.cluster.engine_restoration import create_restored_engine
from primroseledge.cluster.fleet_ownership import ABANDONABLE_STATES
from primroseledge.cluster.fleet_ownership import ENGINE_STATES
from primroseledge.cluster.fleet_ownership import FleetOwnership
from primroseledge.cluster.fleet_ownership import FleetOwnershipState
from primroseledge.cluster.fleet_store import LeaseId
from primroseledge.cluster.fleet_view import FleetView
from primroseledge.cluster.messages import CallerRequest
from primroseledge.cluster.messages import CancelRequest
from primroseledge.cluster.messages import create_reply
from primroseledge.cluster.messages import ForwardedReply
from primroseledge.cluster.messages import ForwardedRequest
from primroseledge.cluster.messages import Message
from primroseledge.cluster.messages import NotOwner
from primroseledge.cluster.messages import PeerStateQuery
from primroseledge.cluster.messages import PendingRequest
from primroseledge.cluster.messages import StateRequest
from primroseledge.cluster.messages import SubmitRequest
from primroseledge.cluster.pending_calls import log_unanswered_call
from primroseledge.cluster.pending_calls import PendingCall
from primroseledge.cluster.pending_calls import PendingCalls
from primroseledge.cluster.vacancy import Vacancy
from primroseledge.cluster.worker_list_timing import WorkerListTiming
from primroseledge.ids import EntryId
from primroseledge.ids import Epoch
from primroseledge.jobs.configuration import Configuration
from primroseledge.observability.events import Event
from primroseledge.observability.logs import log
from primroseledge.owner.batch import FIRST_LANE
from primroseledge.owner.engine import Engine
from primroseledge.scheduling.actions import Action
from primroseledge.scheduling.actions import CallId
from primroseledge.scheduling.actions import CancelJob
from primroseledge.scheduling.actions import PollAnswered
from primroseledge.scheduling.actions import PollFailed
from primroseledge.scheduling.actions import SendAnswer
from primroseledge.scheduling.actions import SubmitJob
from primroseledge.scheduling.advice import AdviceAnswered
from primroseledge.scheduling.advice import AdviceFailed
from primroseledge.scheduling.timing import Timing

Command = Any

FIRST_EPOCH: Final = Epoch(1)

TAKEOVER_PAUSE_S: Final = 1.0
"""Time without calls that take instances out of service, in seconds.

It follows the end of the predecessor, which stopped when its lease expired or
when it released the ownership, but may have had such calls in flight. They
carry the older epoch and end within this time.
"""


@dataclass(slots=True)
class FleetNode:
    """The state and decisions of one entry instance.

    ``engine`` is set only while this instance is the owner. ``commands``
    collects the commands that the next ``reconcile`` returns.
    ``wall_offset_s`` is the wall-clock time minus the boot clock's. The
    predecessor of this instance's last ownership had stopped acting by
    ``predecessor_ended_at``.
    """

    view: FleetView
    wall_offset_s: float = 0.0
    ownership: FleetOwnership = field(default_factory=FleetOwnership)
    pending_calls: PendingCalls = field(default_factory=PendingCalls)
    lease: LeaseId | None = None
    engine: Engine | None = None
    worker_list: WorkerListTiming = field(default_factory=WorkerListTiming)
    vacancy: Vacancy = field(default_factory=Vacancy)
    predecessor_ended_at: float = 0.0
    is_predecessor_idle: bool = False
    commands: list[Command] = field(default_factory=list)
    timing: Timing = Timing()
    departure: Departure = field(init=False)

    def __post_init__(self) -> None:
        """Have the departure act on the same view and ownership."""
        self.departure = Departure(self.view, self.ownership)

    @property
    def entry(self) -> EntryId:
        """Return the id of this instance."""
        return self.view.entry

    @property
    def address(self) -> str:
        """Return the address at which peers reach this instance."""
        return self.view.address

    @property
    def configuration(self) -> Configuration | None:
        """Return the configuration in force at this instance, if any."""
        return self.view.configuration

    # Callers

    def handle_call(
        self, number: int, request: CallerRequest, deadline: float, now: float
    ) -> None:
        """Add a request of one of this instance's callers.

        It is sent to the owner by the next ``reconcile``.
        """
        self.pending_calls.add(PendingCall(number, request, now, deadline))

    def forward_calls(self, now: float) -> None:
        """Answer expired requests, and send those that are due to the owner.

        If this instance is the owner, it serves them itself.
        """
        owner = self.ownership.owner
        epoch = owner.epoch if owner else None
        for call, answer in self.pending_calls.end_calls(epoch, now):
            log_unanswered_call(call, answer, epoch, now)
            self.commands.append(AnswerCaller(call.number, answer))
        if owner is None:
            return
        if owner.entry == self.entry:
            if self.ownership.may_send_orders(now):
                self.serve_own_calls(now)
            return
        for request in self.pending_calls.requests_to_send(owner.epoch, now):
            self.commands.append(SendToPeer(owner.address, request))

    def serve_own_calls(self, now: float) -> None:
        """Serve the requests of this instance's own callers as the owner."""
        epoch = self.ownership.epoch
        for call in self.pending_calls.calls_to_send(epoch, now):
            call_id = CallId('', call.number)
            self.serve(call_id, call.request, call.received_at, now)

    def serve(
        self,
        call: CallId,
        request: CallerRequest,
        begun_after: float | None,
        now: float,
    ) -> None:
        """Serve a caller's request, which began then, as the owner.

        Queries are answered at once, the others by the engine in a later
        ``reconcile``.
        """
        engine = self.engine
        if engine is None:
            return
        if isinstance(request, SubmitRequest):
            engine.submit(SubmitJob(call, request.job, begun_after), now)
        elif isinstance(request, CancelRequest):
            engine.cancel(CancelJob(call, request.queue, request.job), now)
        elif isinstance(request, StateRequest):
            answer = engine.find_state(request.job)
            self.send_answer(SendAnswer(call, answer), now)
        elif isinstance(request, PendingRequest):
            answer = engine.count_pending(request.queue)
            self.send_answer(SendAnswer(call, answer), now)

    def send_answer(self, action: SendAnswer, now: float) -> None:
        """Send the owner's answer to a request to where it came from.

        That is a caller of this instance, or the peer that forwarded the
        request.
        """
        number = action.call.number
        if action.call.peer_identity:
            reply = create_reply(action, self.ownership.epoch, now)
            self.commands.append(ReplyToPeer(action.call.peer_identity, reply))
        elif self.pending_calls.remove(number):
            self.commands.append(AnswerCaller(number, action.answer))

    # Peers

    def handle_message(
        self, sender: str, message: Message, now: float
    ) -> None:
        """Handle a message from a peer.

        ``sender`` is the peer's identity for replies; it is empty for a
        message that is itself a reply.
        """
        if isinstance(message, ForwardedRequest):
            if self.ownership.may_send_orders(now) and self.engine is not None:
                call = CallId(sender, message.number)
                for told in message.told:
                    refused = CallId(sender, told.number)
                    self.engine.refused_calls.confirm(refused, told.job, now)
                begun_after = message.begun_after(self.ownership.epoch)
                self.serve(call, message.request, begun_after, now)
                return
            not_owner = NotOwner(message.number, self.ownership.owner)
            self.commands.append(ReplyToPeer(sender, not_owner))
        elif isinstance(message, ForwardedReply):
            answer = self.pending_calls.handle_reply(message, now)
            if answer is not None:
                self.commands.append(AnswerCaller(message.number, answer))
        elif isinstance(message, NotOwner):
            self.pending_calls.record_decline(message.number)
            if message.owner is not None:
                self.ownership.apply_owner_from_peer(message.owner)
        elif isinstance(message, PeerStateQuery):
            peer_state = self.view.create_peer_state(message, self.ownership)
            self.commands.append(ReplyToPeer(sender, peer_state))
        else:
            self.view.handle_peer_state(message, self.ownership)
            self.apply_view_to_engine(now)

    # The store

    def apply_keys(self, event: WatchedKeysRead, now: float) -> None:
        """Apply watched keys to the view, the ownership and the engine."""
        self.view.apply_keys(event, self.ownership, now)
        self.apply_view_to_engine(now)

    def apply_view_to_engine(self, now: float) -> None:
        """Pass the newest configuration, waves and zones to the engine."""
        engine = self.engine
        configuration = self.view.configuration
        if engine is None or configuration is None:
            return
        if engine.state.configuration is not configuration:
            engine.apply_configuration(configuration)
        engine.instance_list.waves.update(self.view.waves)
        engine.apply_evacuated_zones(self.view.evacuated_zones, now)

    def handle_lease_renewed(self, event: LeaseRenewed) -> None:
        """Extend this instance's lease, or begin a new one."""
        self.lease = event.lease
        self.ownership.handle_lease_renewed(event.sent_at, event.ttl_s)

    def handle_lease_lost(self) -> None:
        """Give up the ownership, as the store ended this instance's lease."""
        if self.lease is not None:
            log(Event.LEASE_LOST, problem='the store has ended the lease')
        self.lease = None
        self.ownership.handle_lease_lost()

    # Owning

    def claim(self, now: float) -> None:
        """Claim the ownership if the fleet has no owner.

        An instance that is leaving, or has no lease or configuration, does
        not claim.
        """
        if self.departure.is_leaving or self.lease is None:
            return
        if self.configuration is None or not self.ownership.may_claim(now):
            return
        if not self.has_claim_wait_passed(now):
            return
        self.ownership.claimed_at = now
        self.ownership.advance('claim')
        self.commands.append(ClaimOwner(self.lease))

    def has_claim_wait_passed(self, now: float) -> bool:
        """Return whether it is this instance's turn to claim.

        The members before it in the claim order have then had time to
        claim since this instance found the fleet without an owner.
        """
        wait_s = claim_wait_s(self.view.members, self.entry)
        since = self.vacancy.since
        return since is not None and now >= since + wait_s

    def handle_claim_won(self, event: ClaimWon, now: float) -> None:
        """Become the owner, and request the stored jobs.

        The result is ignored if this instance is no longer claiming.
        """
        ended_at = self.vacancy.predecessor_end(event.owner.epoch, now)
        self.ownership.handle_claim_won(
            event.owner, event.ledger_revision, now
        )
        if self.ownership.state is FleetOwnershipState.RESTORING:
            self.is_predecessor_idle = event.is_predecessor_idle
            self.predecessor_ended_at = ended_at
            log(Event.OWNER_TAKEN, cell='fleet', epoch=event.owner.epoch)
            self.commands.append(RestoreJobs(event.owner.epoch))

    def handle_claim_lost(self, event: ClaimLost) -> None:
        """Return to the state FOLLOWING, as the claim failed."""
        if self.ownership.state is FleetOwnershipState.CLAIMING:
            self.ownership.advance('lost')

    def handle_jobs_restored(self, event: JobsRestored, now: float) -> None:
        """Create the engine from the restored records, and start to act."""
        ownership = self.ownership
        configuration = self.configuration
        if ownership.state is not FleetOwnershipState.RESTORING:
            return
        if event.epoch != ownership.epoch or configuration is None:
            return
        engine = create_restored_engine(
            configuration,
            self.view,
            event,
            self.timing,
            self.wall_offset_s,
            ownership.owned_since,
            now,
        )
        self.view.zones = self.view.zones.newest(event.zones)
        engine.apply_evacuated_zones(self.view.evacuated_zones, now)
        if event.epoch > FIRST_EPOCH and not self.is_predecessor_idle:
            engine.instance_list.may_change_instances_from = (
                self.predecessor_ended_at + TAKEOVER_PAUSE_S
            )
        self.engine = engine
        self.worker_list.record_listed(now)
        ownership.advance('restored')
        log(
            Event.JOBS_RESTORED,
            epoch=event.epoch,
            jobs=len(engine.state.jobs),
            active=len(engine.state.active_jobs),
            seconds=round(now - ownership.owned_since, 3),
        )

    def handle_workers_listed(self, event: WorkersListed, now: float) -> None:
        """Apply the zones, and the list of workers if it is of this epoch.

        Another list may be older than the one that was read with the jobs.
        """
        self.view.zones = self.view.zones.newest(event.zones)
        self.apply_view_to_engine(now)
        if event.epoch != self.ownership.epoch:
            return
        self.worker_list.record_listed(now)
        if self.engine is not None:
            entries = self.view.decode_workers(event.items)
            listed_at = self.worker_list.begun_at
            self.engine.apply_worker_entries(entries, now, listed_at)

    def handle_worker_list_failed(
        self, event: WorkerListFailed, now: float
    ) -> None:
        """Log the failure, and have the workers listed again soon."""
        self.view.zones = self.view.zones.newest(event.zones)
        self.apply_view_to_engine(now)
        if event.epoch != self.ownership.epoch:
            return
        log(Event.STORE_RETRIED, step='workers', problem=event.problem)
        self.worker_list.record_failure(now)

    def handle_batch_stored(self, event: BatchStored, now: float) -> None:
        """Let the engine send what had to wait until a batch was stored."""
        if event.epoch != self.ownership.epoch or self.engine is None:
            return
        self.ownership.ledger_revisions[event.lane] = event.ledger_revision
        self.engine.handle_batch_stored(event.number, now)

    def handle_ownership_lost(self, event: OwnershipLost) -> None:
        """Stop acting as the owner if the lost epoch is the current one."""
        if event.epoch == self.ownership.epoch:
            self.ownership.lose_ownership()

    def handle_worker_report(self, event: WorkerReport, now: float) -> None:
        """Pass the result of an order or poll of this epoch to the engine.

        The result of an order or poll of an earlier epoch is ignored: a
        worker that refused that epoch as outdated has not refused the
        current one.
        """
        engine = self.engine
        if engine is None or event.epoch != self.ownership.epoch:
            return
        report = event.report
        if isinstance(report, PollAnswered):
            engine.handle_poll_answer(report, now)
        elif isinstance(report, PollFailed):
            engine.handle_poll_failure(report, now)
        else:
            engine.handle_order_ended(report, now)

    def handle_instance_report(
        self, event: InstanceReported, now: float
    ) -> None:
        """Pass the result of an instance call of this epoch to the engine."""
        if self.engine is not None and event.epoch == self.ownership.epoch:
            self.engine.handle_instance_report(event.report, now)

    def handle_advice_answer(
        self, answer: AdviceAnswered | AdviceFailed, now: float
    ) -> None:
        """Pass the advisory service's answer or failure to the engine."""
        if self.engine is not None:
            self.engine.handle_advice_answer(answer, now)

    # Time

    def reconcile(self, now: float) -> tuple[list[Command], list[Action]]:
        """Bring the node up to date; return what is to be carried out.

        Called after events and at regular intervals. It checks the
        ownership, claims it if it may, forwards requests and runs the
        engine. The result is the node's commands and the engine's actions.
        """
        self.check_ownership(now)
        self.claim(now)
        self.commands.extend(self.view.gossip(now))
        self.forward_calls(now)
        actions = self.run_engine(now)
        commands = self.commands
        self.commands = []
        return commands, actions

    def check_ownership(self, now: float) -> None:
        """Clean up after a lost ownership, or release one that must end.

        If the ownership was lost, the engine is dropped.
        """
        state = self.ownership.state
        self.vacancy.update(self.ownership, now)
        if self.engine is not None and state not in ENGINE_STATES:
            log(
                Event.OWNER_LOST,
                cell='fleet',
                reason=f'epoch {self.ownership.epoch} has ended',
            )
            self.engine = None
        self.commands.extend(self.departure.advance(self.engine, now))

    def abandon_ownership(self) -> None:
        """Release the ownership at once and discard the engine.

        This follows an unexpected error, after which the state in memory
        may be wrong. The next owner restores its own from the store.
        """
        self.engine = None
        is_claim_dropped = any(
            isinstance(command, ClaimOwner) for command in self.commands
        )
        self.commands = []
        if is_claim_dropped:
            self.ownership.lose_ownership()
        if self.ownership.state in ABANDONABLE_STATES:
            self.ownership.advance('release')
            self.commands.append(
                ReleaseOwner(
                    self.ownership.epoch,
                    self.ownership.ledger_revisions.get(FIRST_LANE),
                )
            )

    def handle_owner_released(self, event: OwnerReleased) -> None:
        """End the release: return to FOLLOWING, or retire if leaving."""
        if self.ownership.state is not FleetOwnershipState.RELEASING:
            return
        self.ownership.owner = None
        self.ownership.advance(
            'retire' if self.departure.is_leaving else 'released'
        )

    def run_engine(self, now: float) -> list[Action]:
        """Run the engine as the owner; return the actions to carry out.

        For ``POLL_GRACE_S`` after the lease has expired, the engine only
        polls workers. If the engine is fenced, that is, a worker or the
        platform has refused this epoch as outdated, the ownership ends.
        """
        engine = self.engine
        if (
            engine is None
            or self.ownership.state is not FleetOwnershipState.OWNING
        ):
            return []
        if not self.ownership.may_send_orders(now):
            may_poll = self.ownership.may_poll(now)
            return engine.poll_only(now) if may_poll else []
        engine.state.wall_offset_s = self.wall_offset_s
        engine.outbox.store_health.unavailable_since = (
            self.view.store_unavailable_since
            if self.view.is_store_unavailable
            else None
        )
        if engine.is_fenced:
            self.ownership.lose_ownership()
            return []
        has_operations = bool(engine.instance_list.operations)
        if self.worker_list.begin_if_due(has_operations, now):
            self.commands.append(ListWorkers(self.ownership.epoch))
        actions, batch = engine.reconcile(now)
        if batch is not None:
            ownership = self.ownership
            revision = ownership.ledger_revisions[batch.lane]
            self.commands.append(StoreBatch(ownership.epoch, revision, batch))
        other_actions = list[Action]()
        for action in actions:
            if isinstance(action, SendAnswer):
                self.send_answer(action, now)
            else:
                other_actions.append(action)
        return other_actions

    def is_ready(self, now: float) -> bool:
        """Return whether this instance is ready to serve new callers."""
        return (
            not self.departure.is_leaving
            and self.configuration is not None
            and self.ownership.owner is not None
        )
