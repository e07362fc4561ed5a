"""Availability budgets: what is spent, what is left, who may stop what.

The record ``claims/<service>`` holds every planned stop under way and
every unplanned failure that still counts. It changes only by
compare-and-swap, so two controllers cannot spend the same headroom.
"""

from collections.abc import Iterable
from collections.abc import Mapping
from dataclasses import dataclass
from dataclasses import field
from typing import Final

from msgspec import field as struct_field
from msgspec import Struct
from msgspec.structs import replace

from primroseledge.ids import InstanceId
from primroseledge.ids import ServiceId
from primroseledge.ids import ZoneId
from primroseledge.operators.explain import Explanation
from primroseledge.operators.explain import Rule
from primroseledge.storage.documents import Budget

CLAIMS_PREFIX: Final = 'claims/'


class Claim(Struct, frozen=True):
    """A planned stop; ``operation`` is the wave or move it belongs to."""

    zone: str
    operation: str


class Ledger(Struct, frozen=True):
    """What spends a service's budget; keys are instance ids.

    ``failures`` gives the zone of each instance that failed unplanned.
    """

    claims: dict[str, Claim] = struct_field(default_factory=dict)
    failures: dict[str, str] = struct_field(default_factory=dict)


def claims_key(service: ServiceId) -> str:
    """Return the store key of a service's ledger."""
    return f'{CLAIMS_PREFIX}{service}'


def check_claim(
    budget: Budget,
    ledger: Ledger,
    down: Mapping[InstanceId, ZoneId],
    instance: InstanceId,
    zone: ZoneId,
    operation: str,
) -> Explanation | None:
    """Return why an operation may not stop an instance now, or None.

    ``down`` are the instances now seen failed; they count even before
    they are recorded. An instance that is down already spends its own
    part, so stopping it spends nothing more.
    """
    held = ledger.claims.get(instance)
    if held is not None:
        if held.operation == operation:
            return None
        return Explanation(
            instance, Rule.CLAIMED_ELSEWHERE, detail=held.operation
        )
    spent = _spent_zones(ledger, down)
    spent.pop(instance, None)
    if len(spent) + 1 > budget.unavailable:
        return _refuse(
            Rule.BUDGET, instance, ledger, spent, budget.unavailable
        )
    in_zone = {name: at for name, at in spent.items() if at == zone}
    if len(in_zone) + 1 > budget.unavailable_per_zone:
        return _refuse(
            Rule.BUDGET_ZONE,
            instance,
            ledger,
            in_zone,
            budget.unavailable_per_zone,
        )
    return None


def add_claim(
    ledger: Ledger, instance: InstanceId, zone: ZoneId, operation: str
) -> Ledger:
    """Return the ledger with a claim; a repeated claim changes nothing."""
    claims = ledger.claims | {instance: Claim(zone, operation)}
    return replace(ledger, claims=claims)


def release_claim(
    ledger: Ledger, instance: InstanceId, operation: str
) -> Ledger:
    """Return the ledger without this operation's claim on an instance."""
    claim = ledger.claims.get(instance)
    if claim is None or claim.operation != operation:
        return ledger
    claims = {
        name: held for name, held in ledger.claims.items() if name != instance
    }
    return replace(ledger, claims=claims)


def add_failures(
    ledger: Ledger, failed: Mapping[InstanceId, ZoneId]
) -> Ledger:
    """Return the ledger with these unplanned failures recorded."""
    if all(name in ledger.failures for name in failed):
        return ledger
    return replace(ledger, failures=ledger.failures | dict(failed))


def drop_failures(ledger: Ledger, names: Iterable[str]) -> Ledger:
    """Return the ledger without these failures."""
    gone = set(names)
    if gone.isdisjoint(ledger.failures):
        return ledger
    failures = {
        name: zone
        for name, zone in ledger.failures.items()
        if name not in gone
    }
    return replace(ledger, failures=failures)


@dataclass(slots=True)
class FailureWindow:
    """Times how long recorded failures still count.

    Clocks differ between instances, so a record holds no time: each
    holder counts the window from when it last saw the instance down,
    or first read the record. A new holder counts from its own start,
    so a failure never counts for less than the window.
    """

    seen_last: dict[str, float] = field(default_factory=dict)

    def expired(
        self,
        ledger: Ledger,
        down: Mapping[InstanceId, ZoneId],
        now: float,
        window_s: float,
    ) -> list[str]:
        """Return the failures that no longer count at ``now``."""
        self.seen_last = {
            name: now if name in down else self.seen_last.get(name, now)
            for name in ledger.failures
        }
        return [
            name
            for name, seen in self.seen_last.items()
            if now - seen >= window_s
        ]


def _spent_zones(
    ledger: Ledger, down: Mapping[InstanceId, ZoneId]
) -> dict[str, str]:
    """Return every instance that spends the budget, with its zone."""
    claimed = {name: claim.zone for name, claim in ledger.claims.items()}
    return ledger.failures | claimed | dict(down)


def _refuse(
    rule: Rule,
    instance: InstanceId,
    ledger: Ledger,
    spent: Mapping[str, str],
    allowed: int,
) -> Explanation:
    claimed = sum(name in ledger.claims for name in spent)
    numbers = {
        'allowed': allowed,
        'claimed': claimed,
        'failed': len(spent) - claimed,
    }
    return Explanation(instance, rule, numbers)
