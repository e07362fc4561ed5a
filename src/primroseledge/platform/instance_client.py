"""The platform's service of instances, over HTTP."""

from typing import Any
from typing import Final
from urllib.parse import urlencode

from msgspec import DecodeError
from msgspec import json

from primroseledge.clock import boot_time
from primroseledge.httpclient import HttpClient
from primroseledge.httpclient import NoAnswerError
from primroseledge.httpclient import NotSentError
from primroseledge.ids import EntryId
from primroseledge.ids import Epoch
from primroseledge.ids import InstanceId
from primroseledge.ids import ServiceId
from primroseledge.ids import WorkerId
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
from primroseledge.platform.wire import WireInstance
from primroseledge.platform.wire import WireInstancePage
from primroseledge.platform.wire import WireRefusal

CALL_TIMEOUT_S: Final = 1.0
OK: Final = 200
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
    """Calls the service in the name of one holder."""

    def __init__(self, address: str, entry_id: EntryId) -> None:
        self.client = HttpClient(address)
        self.entry_id = entry_id

    def close(self) -> None:
        """Close the connection."""
        self.client.close()

    def call(self, call: InstanceCall, epoch: Epoch) -> InstanceReport:
        """Carry out a call."""
        if isinstance(call, ListInstances):
            return self.list_instances()
        result = self.start_operation(call, epoch)
        return InstanceAnswered(call, result, boot_time())

    def list_instances(self) -> InstancesListed | ListFailed:
        """Read the whole list."""
        sent_at = boot_time()
        rows = list[InstanceRow]()
        token: str | None = None
        while True:
            query = f'?{urlencode({"page_token": token})}' if token else ''
            try:
                answer = self.client.call(
                    'GET', f'/-/machines{query}', None, CALL_TIMEOUT_S
                )
                if answer.status != OK:
                    return ListFailed(f'status {answer.status}')
                page = json.decode(answer.body, type=WireInstancePage)
            except (NotSentError, NoAnswerError, DecodeError) as error:
                return ListFailed(str(error))
            rows.extend(decode_instances(page.machines))
            token = page.next_page_token
            if not token:
                return InstancesListed(tuple(rows), sent_at)

    def start_operation(
        self, call: StartMaintenance | MoveInstance, epoch: Epoch
    ) -> InstanceResult:
        """Make a call that takes an instance away."""
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
        return classify_refusal(answer.body)


def classify_refusal(body: bytes) -> InstanceResult:
    """Return what the reason in a refusal says."""
    try:
        reason = json.decode(body, type=WireRefusal).reason
    except DecodeError as error:
        log(Event.INPUT_SKIPPED, subject='refusal', problem=str(error))
        return InstanceResult.UNANSWERED
    return RESULT_BY_REASON.get(reason, InstanceResult.REFUSED)


def decode_instances(wire_instances: list[WireInstance]) -> list[InstanceRow]:
    """Return the rows of a page; a malformed one is logged."""
    rows = list[InstanceRow]()
    for machine in wire_instances:
        state = INSTANCE_STATES.get(machine.state)
        if state is None:
            log(
                Event.INPUT_SKIPPED,
                subject=machine.machine,
                problem=f'no such state: {machine.state!r}',
            )
            continue
        rows.append(
            InstanceRow(
                InstanceId(machine.machine),
                ServiceId(machine.pool),
                state,
                WorkerId(machine.id) if machine.id else None,
                machine.labels[1] if len(machine.labels) > 1 else '',
            )
        )
    return rows
