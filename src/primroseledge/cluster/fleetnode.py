"""One entry instance: callers' requests, ownership and, as owner, jobs.

Pure: events of threads and peers come in with a time, and steps for
them go out. Only the loop calls it.
"""

from dataclasses import dataclass
from dataclasses import field
from typing import Any
from typing import Final

from primroseledge.cluster.fleetstore import LeaseId
from primroseledge.cluster.fleetview import FleetView
from primroseledge.cluster.gateway import Gateway
from primroseledge.cluster.gateway import PendingCall
from primroseledge.cluster.messages import Ask
from primroseledge.cluster.messages import CallerRequest
from primroseledge.cluster.messages import CancelRequest
from primroseledge.cluster.messages import Message
from primroseledge.cluster.messages import NewsQuery
from primroseledge.cluster.messages import NotOwner
from primroseledge.cluster.messages import PendingRequest
from primroseledge.cluster.messages import StateRequest
from primroseledge.cluster.messages import SubmitRequest
from primroseledge.cluster.messages import Told
from primroseledge.cluster.steps import AnswerCaller
from primroseledge.cluster.steps import BatchStored
from primroseledge.cluster.steps import ClaimLost
from primroseledge.cluster.steps import ClaimOwner
from primroseledge.cluster.steps import ClaimWon
from primroseledge.cluster.steps import Deposed
from primroseledge.cluster.steps import JobsRestored
from primroseledge.cluster.steps import KeysSeen
from primroseledge.cluster.steps import LeaseRenewed
from primroseledge.cluster.steps import LeaveMembers
from primroseledge.cluster.steps import ListWorkers
from primroseledge.cluster.steps import OwnerReleased
from primroseledge.cluster.steps import ReleaseOwner
from primroseledge.cluster.steps import ReplyToPeer
from primroseledge.cluster.steps import RestoreJobs
from primroseledge.cluster.steps import SendToPeer
from primroseledge.cluster.steps import StoreBatch
from primroseledge.cluster.steps import WorkerReport
from primroseledge.cluster.steps import WorkersListed
from primroseledge.cluster.steps import WorkersUnread
from primroseledge.cluster.succession import claim_wait_s
from primroseledge.cluster.succession import is_weak
from primroseledge.cluster.tenure import Tenure
from primroseledge.cluster.tenure import TenureState
from primroseledge.ids import EntryId
from primroseledge.ids import Epoch
from primroseledge.jobs.actions import Action
from primroseledge.jobs.actions import Answer
from primroseledge.jobs.actions import CallId
from primroseledge.jobs.actions import CancelJob
from primroseledge.jobs.actions import LookAnswered
from primroseledge.jobs.actions import LookFailed
from primroseledge.jobs.actions import Reply
from primroseledge.jobs.actions import SubmitJob
from primroseledge.jobs.advice import AdviceFailed
from primroseledge.jobs.advice import AdviceGiven
from primroseledge.jobs.configuration import Configuration
from primroseledge.maintenance.actions import InstanceReport
from primroseledge.observability.events import Event
from primroseledge.observability.logs import log
from primroseledge.owner.engine import create_engine
from primroseledge.owner.engine import Engine
from primroseledge.owner.recovery import restore

LIST_WORKERS_S: Final = 1.0
"""How old the list of workers may be at the owner."""

LIST_RETRY_S: Final = 0.2

LIST_WORKERS_BUSY_S: Final = 0.3
"""The same while instances move or have their upkeep."""

RELEASE_RETRY_S: Final = 0.5

STEADY_S: Final = 10.0
"""How long a weak instance owns the fleet before it gives it up."""

SETTLE_WAIT_S: Final = 1.0
"""How long a leaving owner waits for calls that take instances away."""

LOOK_GRACE_S: Final = 1.5
"""How long after its lease an owner without a store renews runs.

A successor counts on this for workers that it cannot reach; those that
it reaches refuse the older epoch.
"""


Step = Any

FIRST_EPOCH: Final = Epoch(1)

TAKEOVER_PAUSE_S: Final = 1.0
"""How long after a predecessor's lease no instance is taken away.

The predecessor stopped with its lease; calls that it had under way carry
the older epoch and end within this time.
"""


@dataclass(slots=True)
class FleetNode:
    """All state of one entry instance."""

    view: FleetView
    wall_offset_s: float = 0.0
    tenure: Tenure = field(default_factory=Tenure)
    gateway: Gateway = field(default_factory=Gateway)
    lease: LeaseId | None = None
    engine: Engine | None = None
    is_leaving: bool = False
    listed_at: float = 0.0
    is_listing: bool = False
    released_at: float = 0.0
    vacant_at: float | None = None
    has_left: bool = False
    is_predecessor_settled: bool = False
    steps: list[Step] = field(default_factory=list)

    @property
    def entry(self) -> EntryId:
        """Return our own name."""
        return self.view.entry

    @property
    def address(self) -> str:
        """Return where peers reach us."""
        return self.view.address

    @property
    def configuration(self) -> Configuration | None:
        """Return the configuration in force here, if there is one."""
        return self.view.configuration

    # Callers

    def call(
        self, number: int, request: CallerRequest, deadline: float, now: float
    ) -> None:
        """Take a request of one of our callers."""
        self.gateway.add(PendingCall(number, request, now, deadline))

    def forward_calls(self, now: float) -> None:
        """Send callers' requests to the owner, and end late ones."""
        for call, answer in self.gateway.give_up(now):
            self.log_unserved(call, answer, now)
            self.steps.append(AnswerCaller(call.number, answer))
        owner = self.tenure.owner
        if not self.gateway.calls or owner is None:
            return
        if owner.entry == self.entry:
            if self.tenure.is_acting(now):
                self.serve_own_calls(now)
            return
        for call in self.gateway.calls_to_send(owner.epoch, now):
            ask = Ask(call.number, call.request)
            self.steps.append(SendToPeer(owner.address, ask))

    def log_unserved(
        self, call: PendingCall, answer: Answer, now: float
    ) -> None:
        """Log a request that gets no answer of an owner."""
        owner = self.tenure.owner
        log(
            Event.CALL_UNSERVED,
            kind=type(call.request).__name__,
            job=job_of(call.request),
            verdict=answer.verdict.value,
            sends=call.sends,
            declines=call.declines,
            epoch=owner.epoch if owner else 0,
            seconds=round(now - call.begun_at, 3),
        )

    def serve_own_calls(self, now: float) -> None:
        """Take our own callers' requests as the owner."""
        for call in self.gateway.calls_to_send(self.tenure.epoch, now):
            call_id = CallId('', call.number)
            self.serve(call_id, call.request, now)

    def serve(self, call: CallId, request: CallerRequest, now: float) -> None:
        """Decide about a caller's request as the owner."""
        engine = self.engine
        if engine is None:
            return
        if isinstance(request, SubmitRequest):
            engine.submit(SubmitJob(call, request.job), now)
        elif isinstance(request, CancelRequest):
            engine.cancel(CancelJob(call, request.queue, request.job), now)
        elif isinstance(request, StateRequest):
            self.reply(Reply(call, engine.find_state(request.job)))
        elif isinstance(request, PendingRequest):
            self.reply(Reply(call, engine.count_pending(request.queue)))

    def reply(self, reply: Reply) -> None:
        """Give an answer to our own caller or to the peer that asked."""
        number = reply.call.number
        if reply.call.entry:
            told = Told(number, reply.answer)
            self.steps.append(ReplyToPeer(reply.call.entry, told))
        elif self.gateway.finish(number):
            self.steps.append(AnswerCaller(number, reply.answer))

    # Peers

    def take_message(self, sender: str, message: Message, now: float) -> None:
        """Take a message of a peer."""
        if isinstance(message, Ask):
            if self.tenure.is_acting(now) and self.engine is not None:
                call = CallId(sender, message.number)
                self.serve(call, message.request, now)
                return
            not_owner = NotOwner(message.number, self.tenure.owner)
            self.steps.append(ReplyToPeer(sender, not_owner))
        elif isinstance(message, Told):
            if self.gateway.finish(message.number):
                self.steps.append(AnswerCaller(message.number, message.answer))
        elif isinstance(message, NotOwner):
            self.gateway.not_taken(message.number)
            if message.owner is not None:
                self.tenure.hear_of_owner(message.owner)
        elif isinstance(message, NewsQuery):
            news = self.view.news_for(message, self.tenure)
            self.steps.append(ReplyToPeer(sender, news))
        else:
            self.view.take_news(message, self.tenure)
            self.follow_view()

    # The store

    def take_keys(self, seen: KeysSeen, now: float) -> None:
        """Take in the operators' keys and those of owner and members."""
        self.view.take_keys(seen, self.tenure, now)
        self.follow_view()

    def follow_view(self) -> None:
        """Let the engine use the newest configuration and waves."""
        engine = self.engine
        configuration = self.view.configuration
        if engine is None or configuration is None:
            return
        if engine.state.configuration is not configuration:
            engine.configure(configuration)
        engine.fleet.waves.update(self.view.waves)

    def lease_renewed(self, event: LeaseRenewed) -> None:
        """Note that our lease goes on."""
        self.lease = event.lease
        self.tenure.lease_renewed(event.sent_at, event.ttl_s)

    def lease_lost(self) -> None:
        """Note that the store ended our lease."""
        if self.lease is not None:
            log(Event.LEASE_LOST, problem='the store has ended it')
        self.lease = None
        self.tenure.lease_lost()

    # Owning

    def claim(self, now: float) -> None:
        """Try to become the owner when there is none."""
        if self.is_leaving or self.lease is None:
            return
        if self.configuration is None or not self.tenure.may_claim(now):
            return
        if not self.is_our_turn(now):
            return
        self.tenure.claimed_at = now
        self.tenure.move('claim')
        self.steps.append(ClaimOwner(self.lease))

    def is_our_turn(self, now: float) -> bool:
        """Tell whether those that should claim before us had time to."""
        if self.vacant_at is None:
            self.vacant_at = now
        wait_s = claim_wait_s(self.view.members, self.entry)
        return now >= self.vacant_at + wait_s

    def claim_won(self, event: ClaimWon, now: float) -> None:
        """Read the jobs as the new owner."""
        self.tenure.claim_won(event.owner, event.ledger_revision, now)
        if self.tenure.state is TenureState.RESTORING:
            self.is_predecessor_settled = event.is_settled
            log(Event.OWNER_TAKEN, cell='fleet', epoch=event.owner.epoch)
            self.steps.append(RestoreJobs(event.owner.epoch))

    def claim_lost(self, event: ClaimLost) -> None:
        """Follow whoever was first."""
        if self.tenure.state is TenureState.CLAIMING:
            self.tenure.move('lost')

    def jobs_restored(self, event: JobsRestored, now: float) -> None:
        """Begin to decide."""
        tenure = self.tenure
        configuration = self.configuration
        if tenure.state is not TenureState.RESTORING:
            return
        if event.epoch != tenure.epoch or configuration is None:
            return
        engine = create_engine(configuration, now, self.wall_offset_s)
        entries = self.view.decode_workers(event.workers)
        restore(
            engine,
            event.accepted,
            event.progress,
            event.waves,
            entries,
            now,
        )
        engine.fleet.waves = dict(self.view.waves)
        if event.epoch > FIRST_EPOCH and not self.is_predecessor_settled:
            engine.fleet.acts_from = now + TAKEOVER_PAUSE_S
        self.engine = engine
        self.listed_at = now
        self.is_listing = False
        tenure.move('restored')
        log(
            Event.JOBS_RESTORED,
            epoch=event.epoch,
            jobs=len(engine.state.jobs),
            active=len(engine.state.active),
            seconds=round(now - tenure.took_over_at, 3),
        )

    def workers_listed(self, event: WorkersListed, now: float) -> None:
        """Take in the list of workers."""
        self.is_listing = False
        self.listed_at = now
        if self.engine is not None:
            self.engine.take_entries(
                self.view.decode_workers(event.items), now
            )

    def workers_unread(self, event: WorkersUnread, now: float) -> None:
        """Ask for the list of workers again soon."""
        log(Event.STORE_RETRIED, step='workers', problem=event.problem)
        self.is_listing = False
        self.listed_at = now - LIST_WORKERS_S + LIST_RETRY_S

    def batch_stored(self, event: BatchStored, now: float) -> None:
        """Let the effects of a stored batch follow."""
        if event.epoch != self.tenure.epoch or self.engine is None:
            return
        self.tenure.ledger_revision = event.ledger_revision
        self.engine.batch_stored(now)

    def deposed(self, event: Deposed) -> None:
        """Stop deciding; another instance is the owner."""
        if event.epoch == self.tenure.epoch:
            self.tenure.lose()

    def take_worker_report(self, event: WorkerReport, now: float) -> None:
        """Take in what a worker answered to this epoch.

        Answers to an earlier epoch of ours say nothing of the fence.
        """
        engine = self.engine
        if engine is None or event.epoch != self.tenure.epoch:
            return
        report = event.report
        if isinstance(report, LookAnswered):
            engine.take_look(report, now)
        elif isinstance(report, LookFailed):
            engine.take_look_failure(report, now)
        else:
            engine.take_order(report, now)

    def take_instances(self, report: InstanceReport, now: float) -> None:
        """Take in what the platform says of instances."""
        if self.engine is not None:
            self.engine.take_instances(report, now)

    def take_advice(
        self, answer: AdviceGiven | AdviceFailed, now: float
    ) -> None:
        """Take in what the advisory service said."""
        if self.engine is not None:
            self.engine.take_advice(answer, now)

    # Time

    def settle(self, now: float) -> tuple[list[Step], list[Action]]:
        """Do what is due; return steps and the owner's orders."""
        self.check_tenure(now)
        self.claim(now)
        self.steps.extend(self.view.gossip(now))
        self.forward_calls(now)
        orders = self.decide(now)
        steps = self.steps
        self.steps = []
        return steps, orders

    def check_tenure(self, now: float) -> None:
        """Drop the jobs when we do not own the fleet any more."""
        state = self.tenure.state
        if not self.tenure.is_vacant:
            self.vacant_at = None
        if self.engine is not None and state not in KEEPING:
            log(
                Event.OWNER_LOST,
                cell='fleet',
                reason=f'epoch {self.tenure.epoch} has ended',
            )
            self.engine = None
        if self.tenure.is_stranded(self.entry):
            self.release_stranded(now)
        if self.is_leaving:
            self.leave(now)
        elif self.should_step_down(now):
            self.release(now)

    def should_step_down(self, now: float) -> bool:
        """Tell whether a stronger instance should own the fleet.

        It may have been away when we took over.
        """
        if self.tenure.state is not TenureState.OWNING:
            return False
        if now < self.tenure.took_over_at + STEADY_S:
            return False
        return is_weak(self.view.members, self.entry)

    def release_stranded(self, now: float) -> None:
        """Remove an owner's record of ours on which nobody acts."""
        owner = self.tenure.owner
        if owner is None or now < self.released_at + RELEASE_RETRY_S:
            return
        self.released_at = now
        self.steps.append(ReleaseOwner(owner.epoch, None))

    def leave(self, now: float) -> None:
        """Stop being a member, and the owner if we are."""
        if not self.has_left:
            self.has_left = True
            self.steps.append(LeaveMembers())
        self.release(now)
        if self.tenure.state in (TenureState.FOLLOWING, TenureState.CLAIMING):
            self.tenure.move('retire')

    def release(self, now: float) -> None:
        """Give the fleet to another instance, once little is under way."""
        tenure = self.tenure
        engine = self.engine
        if tenure.state is not TenureState.OWNING or engine is None:
            return
        if engine.closing_at is None:
            engine.closing_at = now
        is_settled = not engine.fleet.calls_under_way
        is_overdue = now >= engine.closing_at + SETTLE_WAIT_S
        if engine.outbox.under_way is None and (is_settled or is_overdue):
            tenure.move('release')
            self.steps.append(
                ReleaseOwner(tenure.epoch, tenure.ledger_revision, is_settled)
            )

    def give_up_fleet(self) -> None:
        """Stop deciding after a defect; another owner reads the store."""
        self.engine = None
        self.steps = []
        if self.tenure.state is TenureState.OWNING:
            self.tenure.move('release')
            self.steps.append(
                ReleaseOwner(self.tenure.epoch, self.tenure.ledger_revision)
            )

    def owner_released(self, event: OwnerReleased) -> None:
        """Note that our record as owner is gone."""
        if self.tenure.state is not TenureState.RELEASING:
            return
        self.tenure.owner = None
        self.tenure.move('retire' if self.is_leaving else 'released')

    def decide(self, now: float) -> list[Action]:
        """Let the owner's decisions follow from what has come in."""
        engine = self.engine
        if engine is None or self.tenure.state is not TenureState.OWNING:
            return []
        if not self.tenure.is_acting(now):
            if now < self.tenure.leased_until + LOOK_GRACE_S:
                return engine.look_only(now)
            return []
        engine.state.wall_offset_s = self.wall_offset_s
        if engine.is_fenced:
            self.tenure.lose()
            return []
        if not self.is_listing and now >= self.listed_at + self.list_interval(
            engine
        ):
            self.is_listing = True
            self.steps.append(ListWorkers())
        actions, batch = engine.settle(now)
        if batch is not None:
            tenure = self.tenure
            self.steps.append(
                StoreBatch(tenure.epoch, tenure.ledger_revision, batch)
            )
        orders = list[Action]()
        for action in actions:
            if isinstance(action, Reply):
                self.reply(action)
            else:
                orders.append(action)
        return orders

    def list_interval(self, engine: Engine) -> float:
        """Return how old the list of workers may be, in seconds."""
        if engine.fleet.operations:
            return LIST_WORKERS_BUSY_S
        return LIST_WORKERS_S

    def is_ready(self, now: float) -> bool:
        """Tell whether new callers should be sent to us."""
        return (
            not self.is_leaving
            and self.configuration is not None
            and self.tenure.owner is not None
        )


def job_of(request: CallerRequest) -> str:
    """Return the job that a request names, or its queue."""
    if isinstance(request, SubmitRequest):
        return request.job.id
    if isinstance(request, PendingRequest):
        return request.queue
    return request.job


KEEPING: Final = frozenset((TenureState.OWNING, TenureState.RELEASING))
