"""The ledgers of a pool's services, claimed from and released together.

An instance serves every service of its pool, so a planned stop has to
be within the budget of each of them.
"""

from collections.abc import Callable
from collections.abc import Mapping
from collections.abc import Sequence

from primroseledge.ids import InstanceId
from primroseledge.ids import ServiceId
from primroseledge.ids import ZoneId
from primroseledge.operators.explain import Explanation
from primroseledge.policy.budget import add_claim
from primroseledge.policy.budget import add_failures
from primroseledge.policy.budget import check_claim
from primroseledge.policy.budget import claims_key
from primroseledge.policy.budget import drop_failures
from primroseledge.policy.budget import FailureWindow
from primroseledge.policy.budget import Ledger
from primroseledge.policy.budget import release_claim
from primroseledge.storage.documents import Service
from primroseledge.storage.records import Records
from primroseledge.storage.records import Versioned


class ClaimBook:
    """Ledgers as read in this step; every swap is guarded.

    ``check_plan`` raises ConflictError when the plan that a change
    rests on is no longer the recorded one. It is called after the
    ledger was read and before it is swapped.
    """

    def __init__(
        self, records: Records, check_plan: Callable[[], None]
    ) -> None:
        self.records = records
        self.check_plan = check_plan
        self.services: Sequence[Service] = ()
        self.ledgers: dict[ServiceId, Versioned[Ledger]] = {}
        self.windows: dict[ServiceId, FailureWindow] = {}

    def load(self, services: Sequence[Service]) -> None:
        """Read the ledgers of these services."""
        self.services = sorted(services, key=lambda service: service.id)
        self.ledgers = {
            service.service_id: self.records.load(
                claims_key(service.service_id), Ledger()
            )
            for service in self.services
        }

    def account_failures(
        self, now: float, down: Mapping[InstanceId, ZoneId]
    ) -> None:
        """Record new unplanned failures; drop those that have lapsed."""
        for service in self.services:
            key = service.service_id
            ledger = self.ledgers[key].value
            window = self.windows.setdefault(key, FailureWindow())
            unplanned = {
                name: zone
                for name, zone in down.items()
                if name not in ledger.claims
            }
            lapsed = window.expired(
                ledger, unplanned, now, service.budget.window_s
            )
            kept = drop_failures(ledger, lapsed)
            self._swap(key, add_failures(kept, unplanned))

    def claim(
        self,
        instance: InstanceId,
        zone: ZoneId,
        operation: str,
        down: Mapping[InstanceId, ZoneId],
    ) -> Explanation | None:
        """Claim an instance from every budget, or return why not."""
        for service in self.services:
            refusal = check_claim(
                service.budget,
                self.ledgers[service.service_id].value,
                down,
                instance,
                zone,
                operation,
            )
            if refusal is not None:
                return refusal
        for key, held in list(self.ledgers.items()):
            if instance not in held.value.claims:
                self._swap(
                    key, add_claim(held.value, instance, zone, operation)
                )
        return None

    def release(self, instance: InstanceId, operation: str) -> None:
        """Free an operation's claims on an instance."""
        for key, held in list(self.ledgers.items()):
            self._swap(key, release_claim(held.value, instance, operation))

    def transfer(self, instance: InstanceId, before: str, after: str) -> None:
        """Hand an operation's claims over, without a gap, to another."""
        for key, held in list(self.ledgers.items()):
            claim = held.value.claims.get(instance)
            if claim is not None and claim.operation == before:
                zone = ZoneId(claim.zone)
                ledger = add_claim(held.value, instance, zone, after)
                self._swap(key, ledger)

    def fail(self, instance: InstanceId, zone: ZoneId, operation: str) -> None:
        """Turn claims on an instance into a failure, which lapses."""
        for key, held in list(self.ledgers.items()):
            released = release_claim(held.value, instance, operation)
            self._swap(key, add_failures(released, {instance: zone}))

    def record_failure(self, instance: InstanceId, zone: ZoneId) -> None:
        """Record an unplanned failure of an instance with a claim."""
        for key, held in list(self.ledgers.items()):
            self._swap(key, add_failures(held.value, {instance: zone}))

    def orphans(self, held: set[str]) -> dict[InstanceId, tuple[str, str]]:
        """Return the operation and zone of claims on other instances."""
        return {
            InstanceId(name): (claim.operation, claim.zone)
            for ledger in self.ledgers.values()
            for name, claim in ledger.value.claims.items()
            if name not in held
        }

    def _swap(self, service: ServiceId, ledger: Ledger) -> None:
        before = self.ledgers[service]
        if ledger == before.value:
            return
        self.check_plan()
        self.ledgers[service] = self.records.swap(
            claims_key(service), ledger, before.revision
        )
