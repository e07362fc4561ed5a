"""Which pools a round steps, and what a step is logged and counted as."""

from collections.abc import Iterator
from time import time
from typing import Final

from msgspec import json
from msgspec import MsgspecError

from primroseledge.errors import StoreError
from primroseledge.ids import PoolId
from primroseledge.observability.events import Event
from primroseledge.observability.logs import log
from primroseledge.observability.metrics import Metrics
from primroseledge.operators.explain import Explanation
from primroseledge.operators.explain import Rule
from primroseledge.policy.budget import Ledger
from primroseledge.policy.control_input import ControlRequest
from primroseledge.policy.control_input import count_idle
from primroseledge.policy.control_input import Epochs
from primroseledge.policy.control_input import has_down
from primroseledge.policy.plan import Action
from primroseledge.policy.plan import ENDED
from primroseledge.policy.plan import Kind
from primroseledge.policy.plan import Plan
from primroseledge.policy.plan import PLANS_PREFIX
from primroseledge.policy.plan import PoolInput
from primroseledge.policy.plan import StepReport
from primroseledge.policy.plan import Wave
from primroseledge.policy.plan import WaveSettings
from primroseledge.policy.pool_controller import HELD_STATES
from primroseledge.policy.pool_controller import PoolController
from primroseledge.storage.records import Records
from primroseledge.storage.task_service import InstanceService
from primroseledge.storage.task_service import TaskService

MAX_LIST_AGE_S: Final = 5.0
"""With an older list nothing is decided about instances."""

DRAIN_KINDS: Final = frozenset({Kind.CLAIM, Kind.CLAIM_FAILED})
RETURN_KINDS: Final = frozenset(
    {Kind.PROVE, Kind.COMMIT, Kind.UNDO, Kind.FINISH_RETURN, Kind.FINISH_UNDO}
)
BUDGET_RULES: Final = frozenset({Rule.BUDGET, Rule.BUDGET_ZONE})


class PoolRounds:
    """Keeps a controller for each pool while its epochs stand."""

    def __init__(
        self,
        records: Records,
        instances: InstanceService,
        tasks: TaskService,
        settings: WaveSettings,
        metrics: Metrics,
    ) -> None:
        self.records = records
        self.instances = instances
        self.tasks = tasks
        self.settings = settings
        self.metrics = metrics
        self.controllers: dict[PoolId, tuple[Epochs, PoolController]] = {}
        self.waiting: set[str] = set()

    def due(self, request: ControlRequest) -> Iterator[PoolId]:
        """Yield the pools to step: those where anything is under way.

        One read tells which plans are open, so that pools at rest cost
        the store nothing.
        """
        is_open = self.open_plans()
        for pool in list(self.controllers):
            epochs = request.epochs_of(pool)
            if epochs != self.controllers[pool][0]:
                del self.controllers[pool]
        for pool in sorted(request.by_pool.keys() | is_open):
            held = self.controllers.get(pool)
            if (
                held is None
                or pool in is_open
                or has_down(request, pool)
                or is_spending(held[1])
            ):
                yield pool

    def open_plans(self) -> set[PoolId]:
        """Return the pools with an open plan, as far as known."""
        try:
            records = self.records.store.read(PLANS_PREFIX).records
        except StoreError:
            return {
                pool
                for pool, (_, controller) in self.controllers.items()
                if is_open(controller.plan.value)
            }
        return {
            PoolId(record.key.removeprefix(PLANS_PREFIX))
            for record in records
            if record.value is not None and may_be_open(record.value)
        }

    def step(
        self,
        pool: PoolId,
        epochs: Epochs,
        request: ControlRequest,
        given: PoolInput,
    ) -> StepReport:
        """Step one pool; log and count what came of it."""
        if request.listing.age_s(request.now) > MAX_LIST_AGE_S:
            return StepReport(held=[Explanation(pool, Rule.PLATFORM_OUTAGE)])
        _, controller = self.controllers.setdefault(
            pool, (epochs, self.create(pool))
        )
        before = controller.plan.value.wave
        moving = {
            name: step.pool
            for name, step in controller.plan.value.steps.items()
            if step.pool
        }
        report = controller.step(request.now, given)
        after = controller.plan.value.wave
        for action in report.done:
            self.note(action, moving)
        self.note_wave(pool, before, after)
        self.note_held(after, report)
        return report

    def count_buffers(self, request: ControlRequest) -> None:
        """Record the idle instances of pools that keep a buffer."""
        for pool in request.pools:
            has_buffer = pool.spare or pool.buffer > 0
            if has_buffer and request.epochs_of(pool.pool_id) is not None:
                idle = count_idle(request, pool.pool_id)
                self.metrics.buffer_held(pool.pool_id, idle)

    def create(self, pool: PoolId) -> PoolController:
        """Return a controller that has seen nothing yet."""
        return PoolController(
            pool, self.records, self.instances, self.tasks, self.settings
        )

    def note(self, action: Action, moving: dict[str, str]) -> None:
        """Log what was done with an instance; count its move."""
        if action.kind in DRAIN_KINDS:
            log(Event.INSTANCE_DRAINING, instance=action.instance)
        elif action.kind in RETURN_KINDS:
            log(Event.INSTANCE_RETURNED, instance=action.instance)
        is_moved = action.kind in (Kind.COMMIT, Kind.FINISH_RETURN)
        if is_moved and action.instance in moving:
            self.metrics.instance_moved(PoolId(moving[action.instance]))

    def note_wave(
        self, pool: PoolId, before: Wave | None, after: Wave | None
    ) -> None:
        """Log a change of a wave's state; count its time at its end."""
        if after is None or (
            before is not None
            and (before.id, before.state) == (after.id, after.state)
        ):
            return
        log(
            Event.WAVE_CHANGED,
            wave=after.id,
            state=after.state.value,
            reason=after.detail or f'in pool {pool}',
        )
        is_seen = before is not None and before.id == after.id
        if is_seen and after.state in ENDED and after.started_at:
            self.metrics.wave_ended(pool, time() - after.started_at)

    def note_held(self, wave: Wave | None, report: StepReport) -> None:
        """Log once that a wave waits for a budget."""
        if wave is None:
            return
        reasons = [e for e in report.held if e.rule in BUDGET_RULES]
        if not reasons:
            self.waiting.discard(wave.id)
        elif wave.id not in self.waiting:
            self.waiting.add(wave.id)
            reason = f'{reasons[0].subject}: {reasons[0].rule.value}'
            log(Event.WAVE_HELD, wave=wave.id, reason=reason)


def is_open(plan: Plan) -> bool:
    """Tell whether a plan has a wave or a step that is not at rest."""
    if plan.wave is not None and plan.wave.state not in ENDED:
        return True
    return any(step.state in HELD_STATES for step in plan.steps.values())


def may_be_open(text: str) -> bool:
    """Tell whether a recorded plan is open; one unreadable is shown."""
    try:
        return is_open(json.decode(text, type=Plan))
    except MsgspecError:
        return True


def is_spending(controller: PoolController) -> bool:
    """Tell whether a budget of the pool had anything spent."""
    ledgers = controller.book.ledgers.values()
    return any(ledger.value != Ledger() for ledger in ledgers)
