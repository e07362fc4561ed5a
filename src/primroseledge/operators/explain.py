"""Explanations of refusals: the rule, the numbers, what would change it.

Decisions return an ``Explanation`` wherever they say no, so that what
an operator reads is what the decision used.
"""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
from dataclasses import dataclass
from dataclasses import field
from enum import Enum


class Rule(Enum):
    """The rule by which a job, an instance or a move has to wait."""

    BUDGET = 'budget'
    BUDGET_ZONE = 'budget_zone'
    STORE_OUTAGE = 'store_outage'
    PLATFORM_OUTAGE = 'platform_outage'
    WAVE_WIDTH = 'wave_width'
    WAVE_HALTED = 'wave_halted'
    RECENTLY_REPLACED = 'recently_replaced'
    CLAIMED_ELSEWHERE = 'claimed_elsewhere'
    NOT_DRAINED = 'not_drained'
    MOVE_NOT_WORTH = 'move_not_worth'
    MOVE_HOLD = 'move_hold'
    MOVE_NO_DONOR = 'move_no_donor'
    JOB_NO_ROOM = 'job_no_room'
    JOB_NO_RACK = 'job_no_rack'
    JOB_TOO_LARGE = 'job_too_large'
    JOB_TEAM_LIMIT = 'job_team_limit'
    JOB_BACKOFF = 'job_backoff'
    JOB_FAILS_EVERYWHERE = 'job_fails_everywhere'
    JOB_OUTCOME_UNKNOWN = 'job_outcome_unknown'


@dataclass(frozen=True, slots=True)
class Explanation:
    """Why something is refused or waits, in the decision's own numbers."""

    subject: str
    rule: Rule
    numbers: Mapping[str, float] = field(default_factory=dict)
    detail: str = ''


Remedy = Callable[[Explanation], str]
REMEDIES: dict[Rule, Remedy] = {}


def remedy(*rules: Rule) -> Callable[[Remedy], Remedy]:
    """Register the function that says what would change a rule's answer."""

    def register(function: Remedy) -> Remedy:
        for rule in rules:
            REMEDIES[rule] = function
        return function

    return register


def explain(explanation: Explanation) -> str:
    """Return the explanation as one line for an operator."""
    numbers = ', '.join(
        f'{name}={value:g}' for name, value in explanation.numbers.items()
    )
    what = f' ({explanation.detail})' if explanation.detail else ''
    change = REMEDIES[explanation.rule](explanation)
    return (
        f'{explanation.subject}: {explanation.rule.value}{what}'
        f' [{numbers}]; {change}'
    )


def explain_subject(held: Iterable[Explanation], subject: str) -> list[str]:
    """Return the lines about one job, instance, wave or pool.

    Empty when nothing holds the subject.
    """
    return [explain(item) for item in held if item.subject == subject]


@remedy(Rule.BUDGET, Rule.BUDGET_ZONE)
def _budget_remedy(explanation: Explanation) -> str:
    numbers = explanation.numbers
    excess = numbers['claimed'] + numbers['failed'] + 1 - numbers['allowed']
    return (
        f'goes on when {excess:g} of them have returned and left the'
        f' window, or when the budget allows {excess:g} more'
    )


@remedy(Rule.STORE_OUTAGE)
def _store_remedy(_: Explanation) -> str:
    return 'goes on when the store answers; steps under way are finished'


@remedy(Rule.PLATFORM_OUTAGE)
def _platform_remedy(_: Explanation) -> str:
    return "goes on when the platform's list of instances answers"


@remedy(Rule.WAVE_WIDTH)
def _width_remedy(explanation: Explanation) -> str:
    missing = explanation.numbers['width'] - explanation.numbers['succeeded']
    return f'the width doubles after {max(missing, 1):g} more successes'


@remedy(Rule.WAVE_HALTED)
def _halted_remedy(_: Explanation) -> str:
    return 'goes on when an operator resumes it or rolls it back'


@remedy(Rule.RECENTLY_REPLACED)
def _replaced_remedy(explanation: Explanation) -> str:
    numbers = explanation.numbers
    return (
        'counts as maintained; due again in'
        f' {numbers["window_s"] - numbers["boot_age_s"]:g} s'
    )


@remedy(Rule.CLAIMED_ELSEWHERE)
def _elsewhere_remedy(_: Explanation) -> str:
    return 'goes on when the other operation on the instance has ended'


@remedy(Rule.NOT_DRAINED)
def _drain_remedy(explanation: Explanation) -> str:
    return f'goes on when its {explanation.numbers["running"]:g} have ended'


@remedy(Rule.MOVE_NOT_WORTH)
def _worth_remedy(explanation: Explanation) -> str:
    numbers = explanation.numbers
    return (
        f'moves when the saving exceeds {numbers["cost"]:g}: a longer burst,'
        ' a faster move or a smaller weight on moves'
    )


@remedy(Rule.MOVE_HOLD)
def _hold_remedy(explanation: Explanation) -> str:
    return f'possible in {explanation.numbers["remaining_s"]:g} s'


@remedy(Rule.MOVE_NO_DONOR)
def _donor_remedy(_: Explanation) -> str:
    return 'moves when the spare pool has an idle instance above its buffer'


@remedy(Rule.JOB_NO_ROOM, Rule.JOB_NO_RACK)
def _room_remedy(_: Explanation) -> str:
    return 'starts when a worker or rack has the room that is asked for'


@remedy(Rule.JOB_TOO_LARGE)
def _large_remedy(_: Explanation) -> str:
    return 'never runs: ask for less, or add a larger worker or rack'


@remedy(Rule.JOB_TEAM_LIMIT)
def _limit_remedy(_: Explanation) -> str:
    return 'starts when a job of the team ends or its limit is raised'


@remedy(Rule.JOB_BACKOFF)
def _backoff_remedy(explanation: Explanation) -> str:
    return f'tried again in {explanation.numbers["remaining_s"]:g} s'


@remedy(Rule.JOB_FAILS_EVERYWHERE)
def _everywhere_remedy(_: Explanation) -> str:
    return 'never runs as it is: mend the job and submit it anew'


@remedy(Rule.JOB_OUTCOME_UNKNOWN)
def _unknown_remedy(_: Explanation) -> str:
    return 'is not run again: not idempotent, and it may have run'
