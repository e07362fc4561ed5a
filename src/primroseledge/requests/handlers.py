"""What a node does with each message and each step of ownership.

The handlers register themselves; importing this module is enough.
"""

from collections.abc import Callable
from typing import TypeVar

from primroseledge.agreement.ownership_actions import BecomeOwner
from primroseledge.agreement.ownership_actions import FollowOwner
from primroseledge.agreement.ownership_actions import OwnershipAction
from primroseledge.agreement.ownership_actions import ReadRecord
from primroseledge.agreement.ownership_actions import SendHeartbeat
from primroseledge.agreement.ownership_actions import SendReport
from primroseledge.agreement.ownership_actions import SendReportRequest
from primroseledge.agreement.ownership_actions import StepDown
from primroseledge.agreement.ownership_actions import WriteRecord
from primroseledge.gateway.node import MESSAGE_HANDLERS
from primroseledge.gateway.node import Node
from primroseledge.gateway.node import OWNERSHIP_HANDLERS
from primroseledge.ids import Revision
from primroseledge.observability.events import Event
from primroseledge.observability.logs import FieldValue
from primroseledge.requests.actions import Action
from primroseledge.requests.actions import Note
from primroseledge.requests.actions import SendToEntry
from primroseledge.requests.attempt_end import AttemptEnd
from primroseledge.requests.dispatcher import create_dispatcher
from primroseledge.requests.messages import Ask
from primroseledge.requests.messages import Cancel
from primroseledge.requests.messages import ConfigDelta
from primroseledge.requests.messages import ConfigPull
from primroseledge.requests.messages import Done
from primroseledge.requests.messages import DoneAck
from primroseledge.requests.messages import Envelope
from primroseledge.requests.messages import Grant
from primroseledge.requests.messages import Heartbeat
from primroseledge.requests.messages import Message
from primroseledge.requests.messages import Refuse
from primroseledge.requests.messages import Report
from primroseledge.requests.messages import ReportRequest

MessageT = TypeVar('MessageT', bound=Message)
TypedHandler = Callable[[Node, Envelope, MessageT, float], list[Action]]
StepT = TypeVar('StepT', bound=OwnershipAction)
TypedStep = Callable[[Node, StepT, float], list[Action]]


def handles(
    message_type: type[MessageT],
) -> Callable[[TypedHandler[MessageT]], TypedHandler[MessageT]]:
    """Register what a node does with a type of message."""

    def register(handler: TypedHandler[MessageT]) -> TypedHandler[MessageT]:
        def handle(node: Node, envelope: Envelope, now: float) -> list[Action]:
            assert isinstance(envelope.body, message_type)
            return handler(node, envelope, envelope.body, now)

        MESSAGE_HANDLERS[message_type] = handle
        return handler

    return register


@handles(Heartbeat)
def handle_heartbeat(
    node: Node, envelope: Envelope, message: Heartbeat, now: float
) -> list[Action]:
    """Note what a peer knows, and pull what it knows more."""
    peer = envelope.sender
    if not node.membership.hear(peer, envelope.incarnation, message, now):
        return []
    node.freshness.note_heartbeat(
        peer,
        envelope.incarnation,
        message,
        node.membership.echoed_at(peer),
    )
    echoed_at = node.membership.echoed_at(peer)
    for cell, ownership in node.ownerships.items():
        ownership.on_heartbeat(peer, message, echoed_at, now)
        is_owner = ownership.owner == peer
        if is_owner and message.epochs.get(cell) == ownership.epoch:
            node.entry.note_owner(cell, ownership.epoch, message.sent_at)
    for dispatcher in node.dispatchers.values():
        dispatcher.heard(peer, message.sent_at, now)
    if message.revision > node.configuration.revision:
        pull = ConfigPull(node.configuration.revision)
        return [SendToEntry(peer, pull)]
    if node.configuration.lacking and message.revision:
        # A peer may have the last good version of a refused document.
        return [SendToEntry(peer, ConfigPull(Revision(0)))]
    return []


@handles(ConfigPull)
def handle_pull(
    node: Node, envelope: Envelope, message: ConfigPull, now: float
) -> list[Action]:
    """Send a peer the changes that it lacks."""
    delta = node.configuration.delta_after(message.after)
    return [SendToEntry(envelope.sender, delta)]


@handles(ConfigDelta)
def handle_delta(
    node: Node, envelope: Envelope, message: ConfigDelta, now: float
) -> list[Action]:
    """Apply a peer's changes."""
    applied = node.configuration.apply(message)
    node.freshness.note_revision(node.configuration.revision)
    if applied.needs_pull:
        pull = ConfigPull(node.configuration.revision)
        return [SendToEntry(envelope.sender, pull)]
    return node.dispatch_all(now) if applied.is_applied else []


@handles(Ask)
def handle_ask(
    node: Node, envelope: Envelope, message: Ask, now: float
) -> list[Action]:
    """Queue a request when this node owns its cell, or is about to."""
    dispatcher = node.dispatchers.get(message.cell)
    if dispatcher is None:
        return []
    if dispatcher.is_open:
        dispatcher = node.acting_dispatcher(message.cell, now)
    if dispatcher is None:
        return []
    return [*dispatcher.asked(envelope.sender, message, now)]


@handles(Done)
def handle_done(
    node: Node, envelope: Envelope, message: Done, now: float
) -> list[Action]:
    """Count an attempt's end when this node owns its cell."""
    dispatcher = node.acting_dispatcher(message.cell, now)
    if dispatcher is None:
        return []
    return [*dispatcher.done(envelope.sender, message, now)]


@handles(Cancel)
def handle_cancel(
    node: Node, envelope: Envelope, message: Cancel, now: float
) -> list[Action]:
    """Take a request out of the queue, or its refusal as told."""
    dispatcher = node.dispatchers.get(message.cell)
    if dispatcher is not None:
        dispatcher.cancelled(message, now)
    return []


@handles(ReportRequest)
def handle_report_request(
    node: Node, envelope: Envelope, message: ReportRequest, now: float
) -> list[Action]:
    """Obey a new owner and report what is carried here."""
    ownership = node.ownerships.get(message.cell)
    if ownership is None:
        return []
    steps = ownership.on_report_request(
        envelope.sender, envelope.incarnation, message
    )
    return node.follow(steps, now)


@handles(Report)
def handle_report(
    node: Node, envelope: Envelope, message: Report, now: float
) -> list[Action]:
    """Take a report for a takeover that is under way."""
    ownership = node.ownerships.get(message.cell)
    if ownership is None:
        return []
    ownership.on_report(envelope.sender, envelope.incarnation, message, now)
    return node.tick_ownerships(now)


@handles(Grant)
def handle_grant(
    node: Node, envelope: Envelope, message: Grant, now: float
) -> list[Action]:
    """Start the attempt that a grant allows.

    A grant of another epoch than the one obeyed here is dropped: its
    owner was replaced, and the new one has our report.
    """
    ownership = node.ownerships.get(message.cell)
    if ownership is None or message.epoch != ownership.epoch:
        return []
    may_start = ownership.may_start(message.epoch, now)
    if not may_start or not node.is_fresh(now):
        return [node.entry.finish(message, AttemptEnd.TOO_LATE, now)]
    if not node.may_use_key(message.ask_id):
        return [*node.entry.deny(message, now)]
    return [*node.entry.granted(message, now)]


@handles(Refuse)
def handle_refuse(
    node: Node, envelope: Envelope, message: Refuse, now: float
) -> list[Action]:
    """Refuse a call as the owner says."""
    return [*node.entry.refused(message, now)]


@handles(DoneAck)
def handle_done_ack(
    node: Node, envelope: Envelope, message: DoneAck, now: float
) -> list[Action]:
    """Forget what the owner has."""
    node.entry.acknowledged(message)
    return []


def performs(
    step_type: type[StepT],
) -> Callable[[TypedStep[StepT]], TypedStep[StepT]]:
    """Register how a node carries out a step of an ownership core."""

    def register(handler: TypedStep[StepT]) -> TypedStep[StepT]:
        OWNERSHIP_HANDLERS[step_type] = handler  # type: ignore[index]
        return handler

    return register


@performs(ReadRecord)
def perform_read(node: Node, step: ReadRecord, now: float) -> list[Action]:
    """Let the rim read the record."""
    return [step]


@performs(WriteRecord)
def perform_write(node: Node, step: WriteRecord, now: float) -> list[Action]:
    """Let the rim write the record."""
    return [step]


@performs(SendReportRequest)
def perform_report_request(
    node: Node, step: SendReportRequest, now: float
) -> list[Action]:
    """Ask every instance, this one too, what it carries."""
    request = ReportRequest(step.cell, step.epoch)
    return [SendToEntry(node.entry_id, request), *node.to_peers(request)]


@performs(SendReport)
def perform_report(node: Node, step: SendReport, now: float) -> list[Action]:
    """Report what this instance carries for a cell."""
    carried = node.entry.carried(step.cell, now)
    handover = node.handovers.get(step.cell)
    report = Report(step.cell, step.epoch, carried, handover)
    return [SendToEntry(step.to, report)]


@performs(SendHeartbeat)
def perform_heartbeat(
    node: Node, step: SendHeartbeat, now: float
) -> list[Action]:
    """Send a heartbeat at once."""
    return node.heartbeat(now)


@performs(BecomeOwner)
def perform_become_owner(
    node: Node, step: BecomeOwner, now: float
) -> list[Action]:
    """Dispatch for a cell from now on."""
    dispatcher = node.dispatchers[step.cell]
    actions = dispatcher.begin(
        step.reports,
        step.unreported,
        step.quarantine_until,
        now,
        now + node.wall_offset_s,
    )
    fields: dict[str, FieldValue] = {'cell': step.cell, 'epoch': step.epoch}
    notes = [Note(Event.OWNER_TAKEN, fields)]
    if step.unreported:
        fields = {**fields, 'missing': ', '.join(step.unreported)}
        notes.append(Note(Event.REPORTS_MISSING, fields))
    return [*notes, *actions]


@performs(StepDown)
def perform_step_down(node: Node, step: StepDown, now: float) -> list[Action]:
    """Stop dispatching for a cell."""
    dispatcher = node.dispatchers.pop(step.cell, None)
    handover = None if dispatcher is None else dispatcher.hand_over(now)
    if handover is not None:
        node.handovers[step.cell] = handover
    reason = f'epoch {step.epoch} is over'
    return [Note(Event.OWNER_LOST, {'cell': step.cell, 'reason': reason})]


@performs(FollowOwner)
def perform_follow(node: Node, step: FollowOwner, now: float) -> list[Action]:
    """Ask the new owner for every call that waits.

    When the new owner is this node, it queues from now on and grants
    once it has the reports.
    """
    node.dispatchers.pop(step.cell, None)
    if step.owner == node.entry_id:
        dispatcher = create_dispatcher(
            step.cell,
            step.epoch,
            node.configuration,
            node.id_memory.window_s,
            node.id_memory.clock_skew_s,
        )
        dispatcher.work.slots.leaving = node.policy.leaving
        dispatcher.heard(node.entry_id, now, now)
        for peer in node.membership.peers.values():
            dispatcher.heard(peer.id, peer.sent_at, peer.last_heard)
        node.dispatchers[step.cell] = dispatcher
    return [*node.entry.owner_changed(step.cell, now, step.epoch)]
