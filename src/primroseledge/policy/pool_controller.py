"""Carries out the plan of one pool: waves, drains, reboots and moves.

Every step is recorded in the pool's plan before it is carried out, and
carrying it out twice has no further effect. So any holder of the
pool's right may go on, or undo, where another stopped.

Each write to a record other than the plan is guarded: the record is
read, then the plan's revision is checked, then the record is swapped.
A holder that was paused and has lost its right fails one of the two.
"""

from collections.abc import Callable
from collections.abc import Mapping
from typing import Final

from msgspec.structs import replace

from primroseledge.errors import ConflictError
from primroseledge.errors import StoreError
from primroseledge.ids import InstanceId
from primroseledge.ids import PoolId
from primroseledge.ids import Revision
from primroseledge.ids import ZoneId
from primroseledge.operators.explain import Explanation
from primroseledge.operators.explain import Rule
from primroseledge.policy.claim_book import ClaimBook
from primroseledge.policy.placement_book import PlacementBook
from primroseledge.policy.plan import Action
from primroseledge.policy.plan import IN_FLIGHT
from primroseledge.policy.plan import InstanceView
from primroseledge.policy.plan import Kind
from primroseledge.policy.plan import move_step
from primroseledge.policy.plan import operation_id
from primroseledge.policy.plan import Plan
from primroseledge.policy.plan import plan_key
from primroseledge.policy.plan import PoolInput
from primroseledge.policy.plan import Situation
from primroseledge.policy.plan import Step
from primroseledge.policy.plan import StepReport
from primroseledge.policy.plan import StepState
from primroseledge.policy.plan import Wave
from primroseledge.policy.plan import WaveSettings
from primroseledge.policy.plan import WaveState
from primroseledge.policy.wave import count_success
from primroseledge.policy.wave import decide
from primroseledge.storage.records import Records
from primroseledge.storage.records import Versioned
from primroseledge.storage.task_service import InstanceService
from primroseledge.storage.task_service import PlatformError
from primroseledge.storage.task_service import TaskService

MOVE_PREFIX: Final = 'move/'
HELD_STATES: Final = IN_FLIGHT | {StepState.FAILED}


class PoolController:
    """Moves one pool's plan on; ``step`` is called again and again.

    The caller holds the pool's right. It isn't needed for safety: two
    controllers of one pool never overspend a budget, but get in each
    other's way.
    """

    def __init__(
        self,
        pool: PoolId,
        records: Records,
        instances: InstanceService,
        tasks: TaskService,
        settings: WaveSettings,
    ) -> None:
        self.pool = pool
        self.records = records
        self.instances = instances
        self.tasks = tasks
        self.settings = settings
        self.plan: Versioned[Plan] = Versioned(Plan(), Revision(0))
        self.book = ClaimBook(records, self._check_plan)
        self.placement = PlacementBook(pool, records, self._check_plan)
        self.since: dict[str, tuple[StepState, float]] = {}
        self.input = PoolInput((), {}, {})
        self.report = StepReport()

    def step(self, now: float, given: PoolInput) -> StepReport:
        """Do what can be done at ``now``; never raises a StoreError.

        A step that another controller interferes with is abandoned;
        the next one starts from the records as they are then.
        """
        self.input = given
        self.placement.shards = given.shards
        self.report = StepReport()
        try:
            self._load()
            self.book.account_failures(now, self._down())
            self._adopt_orphans()
            self._request_moves()
            self._advance(now)
        except ConflictError:
            return self.report
        except StoreError:
            self._finish_running()
        return self.report

    def _load(self) -> None:
        self.plan = self.records.load(plan_key(self.pool), Plan())
        self.book.load(self.input.services)

    def _down(self) -> dict[InstanceId, ZoneId]:
        return {
            name: item.instance.zone_id
            for name, item in self.input.view.items()
            if not item.is_up
        }

    def _adopt_orphans(self) -> None:
        """Give back claims that a crash left without a step."""
        steps = self.plan.value.steps
        held = {n for n, step in steps.items() if step.state in HELD_STATES}
        for instance, orphan in self.book.orphans(held).items():
            operation, zone = orphan
            if instance in self.input.view:
                step = Step(StepState.UNDOING, operation=operation)
                self._record(instance, step)
            else:
                self.book.fail(instance, ZoneId(zone), operation)

    def _request_moves(self) -> None:
        for move in self.input.moves:
            item = self.input.view.get(move.instance)
            step = self.plan.value.steps.get(move.instance, Step())
            if item is None or step.state in HELD_STATES:
                continue
            operation = f'{MOVE_PREFIX}{move.instance}/{move.pool}'
            if self._claim(item, operation):
                claimed = _claimed(item, operation)
                self._record(move.instance, replace(claimed, pool=move.pool))

    def _advance(self, now: float) -> None:
        decision = decide(
            Situation(
                self.plan.value,
                self.input.view,
                self._ages(now),
                self.settings,
            )
        )
        self.report.held += decision.held
        if decision.wave != self.plan.value.wave:
            self._swap_plan(replace(self.plan.value, wave=decision.wave))
        self._skip(decision.actions)
        for action in decision.actions:
            handler = HANDLERS.get(action.kind)
            if handler is None:
                continue
            held = len(self.report.held)
            try:
                handler(self, action.instance)
            except PlatformError:
                continue
            if len(self.report.held) == held:
                self.report.done.append(action)

    def _ages(self, now: float) -> dict[InstanceId, float]:
        """Return for how long each step was seen in its state."""
        since = dict[str, tuple[StepState, float]]()
        for name, step in self.plan.value.steps.items():
            state, start = self.since.get(name, (step.state, now))
            is_same = state is step.state
            since[name] = (step.state, start if is_same else now)
        self.since = since
        return {InstanceId(n): now - at for n, (_, at) in since.items()}

    def _skip(self, actions: list[Action]) -> None:
        names = [a.instance for a in actions if a.kind is Kind.SKIP]
        if names:
            skipped = dict.fromkeys(names, Step(StepState.SKIPPED))
            steps = self.plan.value.steps | skipped
            self._swap_plan(replace(self.plan.value, steps=steps))

    def _finish_running(self) -> None:
        """Without the store: finish recorded reboots, begin nothing."""
        for name, step in self.plan.value.steps.items():
            item = self.input.view.get(InstanceId(name))
            if step.state is not StepState.REBOOTING or item is None:
                continue
            try:
                if item.boot_id == step.boot_id:
                    self._reboot_platform(InstanceId(name), step)
                elif item.is_up:
                    self.instances.undrain(InstanceId(name), step.operation)
            except PlatformError:
                continue
        self.report.held.append(Explanation(self.pool, Rule.STORE_OUTAGE))

    # Writes.

    def _swap_plan(self, plan: Plan) -> None:
        self.plan = self.records.swap(
            plan_key(self.pool), plan, self.plan.revision
        )

    def _record(
        self, name: str, step: Step | None, wave: Wave | None = None
    ) -> None:
        """Record an instance's step, or forget it when it is None."""
        steps = dict(self.plan.value.steps)
        steps.pop(name, None)
        if step is not None:
            steps[name] = step
        self._swap_plan(Plan(wave or self.plan.value.wave, steps))

    def _check_plan(self) -> None:
        """Raise ConflictError when another has changed the plan."""
        record = self.records.find(plan_key(self.pool))
        found = Revision(0) if record is None else record.revision
        if found != self.plan.revision:
            raise ConflictError(f'{self.pool}: the plan has changed')

    def _claim(self, item: InstanceView, operation: str) -> bool:
        """Claim an instance from every budget, or explain the refusal."""
        instance = item.instance
        refusal = self.book.claim(
            instance.instance_id, instance.zone_id, operation, self._down()
        )
        if refusal is not None:
            self.report.held.append(refusal)
        return refusal is None

    # What is done for each kind of action.

    def claim(self, instance: InstanceId) -> None:
        """Claim an instance for the wave and start to drain it."""
        wave = self.plan.value.wave
        if wave is None:
            return
        operation = operation_id(wave)
        item = self.input.view[instance]
        if self._claim(item, operation):
            self._record(instance, _claimed(item, operation))
            self.drain(instance)

    def claim_failed(self, instance: InstanceId) -> None:
        """Claim a failed instance anew, so that it is rolled back."""
        step = self.plan.value.steps[instance]
        wave = self.plan.value.wave
        if wave is not None:
            operation = operation_id(wave)
            self.book.transfer(instance, step.operation, operation)
            self.claim(instance)

    def drain(self, instance: InstanceId) -> None:
        """Record the drain, then mark the instance in its placement."""
        item = self.input.view[instance]
        step = self.plan.value.steps[instance]
        if not self._claim(item, step.operation):
            self.undo(instance)
            return
        if step.state is StepState.CLAIMED:
            step = replace(move_step(step, 'drain'), boot_id=item.boot_id)
            self._record(instance, step)
        revision = self.placement.mark_draining(instance)
        if revision == 0:
            self.drop(instance)
            return
        self.instances.drain(instance, step.operation)
        self._record(instance, replace(step, drain_revision=revision))

    def evict(self, instance: InstanceId) -> None:
        """Checkpoint the long jobs of a draining instance; stop them."""
        for task_id in self.input.view[instance].tasks:
            self.tasks.checkpoint(task_id)
            self.tasks.stop(task_id)

    def reboot(self, instance: InstanceId) -> None:
        """Record the reboot, then ask for it."""
        step = move_step(self.plan.value.steps[instance], 'reboot')
        self._record(instance, step)
        self._reboot_platform(instance, step)

    def repeat_reboot(self, instance: InstanceId) -> None:
        """Ask for a recorded reboot again; its answer may be lost."""
        self._reboot_platform(instance, self.plan.value.steps[instance])

    def _reboot_platform(self, instance: InstanceId, step: Step) -> None:
        wave = self.plan.value.wave
        if wave is None:
            return
        is_back = wave.state is WaveState.ROLLING_BACK
        image = wave.previous_image if is_back else wave.image
        self.instances.reboot(instance, step.boot_id, image)

    def prove(self, instance: InstanceId) -> None:
        """Count a success and let the instance return.

        One that came back without our reboot failed unplanned.
        """
        step = self.plan.value.steps[instance]
        wave = self.plan.value.wave
        if step.state is not StepState.REBOOTING:
            self.book.record_failure(instance, ZoneId(step.zone))
        if wave is not None and step.state is StepState.REBOOTING:
            wave = count_success(wave)
        self._record(instance, move_step(step, 'prove'), wave)
        self.finish_return(instance)

    def commit(self, instance: InstanceId) -> None:
        """Record that a drained instance moves, then move it."""
        step = move_step(self.plan.value.steps[instance], 'commit')
        self._record(instance, step)
        self.finish_return(instance)

    def finish_return(self, instance: InstanceId) -> None:
        """Put an instance back, or into its new pool; free its claims."""
        step = self.plan.value.steps[instance]
        if step.pool:
            self.placement.move(instance, PoolId(step.pool))
        else:
            self.placement.unmark(instance)
        self.instances.undrain(instance, step.operation)
        self.book.release(instance, step.operation)
        after = None if step.pool else move_step(step, 'returned')
        self._record(instance, after)

    def undo(self, instance: InstanceId) -> None:
        """Record that a drain is given up, then give it up."""
        step = move_step(self.plan.value.steps[instance], 'undo')
        self._record(instance, step)
        self.finish_undo(instance)

    def finish_undo(self, instance: InstanceId) -> None:
        """Put an instance back as it was; forget its step."""
        step = self.plan.value.steps[instance]
        self.placement.unmark(instance)
        self.instances.undrain(instance, step.operation)
        self.book.release(instance, step.operation)
        self._record(instance, None)

    def fail(self, instance: InstanceId) -> None:
        """Count a failure; the claim stays until the instance is back."""
        step = self.plan.value.steps[instance]
        wave = self.plan.value.wave
        if wave is not None:
            is_attempt = step.state is StepState.REBOOTING
            wave = replace(
                wave,
                failed=wave.failed + 1,
                attempted=wave.attempted + is_attempt,
            )
        self._record(instance, move_step(step, 'fail'), wave)

    def drop(self, instance: InstanceId) -> None:
        """Forget the step of an instance that has left the pool."""
        step = self.plan.value.steps[instance]
        self.book.fail(instance, ZoneId(step.zone), step.operation)
        self._record(instance, None)


Handler = Callable[[PoolController, InstanceId], None]
HANDLERS: Final[Mapping[Kind, Handler]] = {
    Kind.CLAIM: PoolController.claim,
    Kind.CLAIM_FAILED: PoolController.claim_failed,
    Kind.DRAIN: PoolController.drain,
    Kind.EVICT: PoolController.evict,
    Kind.REBOOT: PoolController.reboot,
    Kind.REPEAT_REBOOT: PoolController.repeat_reboot,
    Kind.COMMIT: PoolController.commit,
    Kind.PROVE: PoolController.prove,
    Kind.FINISH_RETURN: PoolController.finish_return,
    Kind.UNDO: PoolController.undo,
    Kind.FINISH_UNDO: PoolController.finish_undo,
    Kind.FAIL: PoolController.fail,
    Kind.DROP: PoolController.drop,
}


def _claimed(item: InstanceView, operation: str) -> Step:
    return Step(
        StepState.CLAIMED, operation=operation, zone=item.instance.zone
    )
