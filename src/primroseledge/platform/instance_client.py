"""HTTP client of the platform's instance service.

The service lists the fleet's instances, and starts their maintenance and
their moves between pools.
"""

from typing import Any
from typing import Final
from urllib.parse import urlencode

from msgspec import json

from primroseledge.clock import boot_time
from primroseledge.http_client import HttpClient
from primroseledge.http_client import NoAnswerError
from primroseledge.http_client import NotSentError
from primroseledge.ids import EntryId
from primroseledge.ids import Epoch
from primroseledge.ids import InstanceId
from primroseledge.ids import ServiceId
from primroseledge.ids import WorkerId
from primroseledge.ids import ZoneId
from primroseledge.maintenance.actions import InstanceAnswered
from primroseledge.maintenance.actions import InstanceCall
from primroseledge.maintenance.actions import InstanceReport
from primroseledge.maintenance.actions import InstanceResult
from primroseledge.maintenance.actions import InstancesListed
from primroseledge.maintenance.actions import ListFailed
from primroseledge.maintenance.actions import ListInstances
from primroseledge.maintenance.actions import MoveInstance
from primroseledge.maintenance.actions import StartMaintenance
from primroseledge.maintenance.wave import InstanceRow
from primroseledge.maintenance.wave import InstanceState
from primroseledge.observability.events import Event
from primroseledge.observability.logs import log
from primroseledge.platform.wire import MALFORMED_ERRORS
from primroseledge.platform.wire import WireInstance
from primroseledge.platform.wire import WireInstancePage
from primroseledge.platform.wire import WireRefusal

CALL_TIMEOUT_S: Final = 1.0
OK: Final = 200
REFUSAL_STATUS: Final = 409
INSTANCE_STATES: Final = {
    'up': InstanceState.UP,
    'moving': InstanceState.MOVING,
    'upkeep': InstanceState.IN_MAINTENANCE,
    'down': InstanceState.DOWN,
}
RESULT_BY_REASON: Final = {
    'fence': InstanceResult.FENCED,
    'busy': InstanceResult.BUSY,
    'wave': InstanceResult.NOT_IN_WAVE,
}
RESULT_BY_STATUS: Final = {
    200: InstanceResult.DONE,
    400: InstanceResult.NO_SUCH_INSTANCE,
    429: InstanceResult.REFUSED,
    503: InstanceResult.REFUSED,
}


class PlatformInstanceClient:
    """Client of the instance service on behalf of one entry instance.

    Each call that changes an instance carries the epoch of the caller's
    ownership, by which the service rejects calls of an earlier owner.
    """

    def __init__(self, address: str, entry_id: EntryId) -> None:
        self.client = HttpClient(address)
        self.entry_id = entry_id

    def close(self) -> None:
        """Close the connection to the service."""
        self.client.close()

    def call(self, call: InstanceCall, epoch: Epoch) -> InstanceReport:
        """Make a call and return its result.

        Failures are returned as results, not raised.
        """
        if isinstance(call, ListInstances):
            return self.list_instances()
        result = self.start_operation(call, epoch)
        return InstanceAnswered(call, result, boot_time())

    def list_instances(self) -> InstancesListed | ListFailed:
        """Read all pages of the list of instances.

        Return ListFailed if any page cannot be read or decoded.
        """
        sent_at = boot_time()
        rows = list[InstanceRow]()
        page_token: str | None = None
        while True:
            query = (
                f'?{urlencode({"page_token": page_token})}'
                if page_token
                else ''
            )
            try:
                answer = self.client.call(
                    'GET', f'/-/machines{query}', None, CALL_TIMEOUT_S
                )
                if answer.status != OK:
                    return ListFailed(f'unexpected status {answer.status}')
                page = json.decode(answer.body, type=WireInstancePage)
            except (NotSentError, NoAnswerError, *MALFORMED_ERRORS) as error:
                return ListFailed(str(error))
            rows.extend(decode_instances(page.machines))
            page_token = page.next_page_token
            if not page_token:
                return InstancesListed(tuple(rows), sent_at)

    def start_operation(
        self, call: StartMaintenance | MoveInstance, epoch: Epoch
    ) -> InstanceResult:
        """Start maintenance of an instance, or its move to another pool.

        Either ends all runs on the instance. UNANSWERED means that the
        call may have been carried out or may still be carried out.
        """
        body: dict[str, Any] = {'machine': call.instance}
        if isinstance(call, StartMaintenance):
            path = '/-/machine-upkeep'
            body['wave'] = call.wave
        else:
            path = '/-/machine-move'
            body['pool'] = call.pool
        headers = {
            'Duty-Holder': self.entry_id,
            'Fencing-Token': str(epoch),
        }
        try:
            answer = self.client.call(
                'POST', path, json.encode(body), CALL_TIMEOUT_S, headers
            )
        except NotSentError:
            return InstanceResult.REFUSED
        except NoAnswerError:
            return InstanceResult.UNANSWERED
        if answer.status in RESULT_BY_STATUS:
            return RESULT_BY_STATUS[answer.status]
        if answer.status != REFUSAL_STATUS:
            # An error of the service, or of something between: it may have
            # carried the call out, whatever its body says.
            log(
                Event.INPUT_SKIPPED,
                subject=f'answer about instance {call.instance}',
                problem=f'unexpected status {answer.status}',
            )
            return InstanceResult.UNANSWERED
        return classify_refusal(answer.body)


def classify_refusal(body: bytes) -> InstanceResult:
    """Return the result that the reason in a refusal's body stands for.

    An unknown reason gives REFUSED, an undecodable body UNANSWERED.
    """
    try:
        reason = json.decode(body, type=WireRefusal).reason
    except MALFORMED_ERRORS as error:
        log(Event.INPUT_SKIPPED, subject='refusal', problem=str(error))
        return InstanceResult.UNANSWERED
    return RESULT_BY_REASON.get(reason, InstanceResult.REFUSED)


def decode_instances(wire_instances: list[WireInstance]) -> list[InstanceRow]:
    """Convert the instances of one page of the list.

    An unknown state is logged. Its instance is listed nevertheless, as one
    that is not would count as gone.
    """
    rows = list[InstanceRow]()
    for instance in wire_instances:
        state = INSTANCE_STATES.get(instance.state, InstanceState.UNKNOWN)
        if state is InstanceState.UNKNOWN:
            log(
                Event.INPUT_SKIPPED,
                subject=instance.machine,
                problem=f'unknown instance state: {instance.state!r}',
            )
        rows.append(
            InstanceRow(
                InstanceId(instance.machine),
                ServiceId(instance.pool),
                state,
                WorkerId(instance.id) if instance.id else None,
                instance.labels[1] if len(instance.labels) > 1 else '',
                ZoneId(instance.zone),
            )
        )
    return rows
