"""Find the level up to which every workspace may use scarce capacity.

Capacity is divided by max-min fairness of dominant shares (DRF): all
workspaces rise to the same dominant share per weight, but none beyond what
it can use, and what it leaves goes to the others.
"""

from collections.abc import Sequence
from dataclasses import dataclass
from math import inf

from primroseledge.jobs.resources import Resources


@dataclass(frozen=True, slots=True)
class Claim:
    """What one workspace could use of a service.

    ``wanted`` is what it uses there and what its waiting tasks need.
    ``lowest`` is its dominant share per weight without this service, and
    ``highest`` that with all of ``wanted``.
    """

    lowest: float
    highest: float
    wanted: Resources


def dominant_share(used: Resources, total: Resources) -> float:
    """Return the largest share of any resource, as a fraction of the total.

    A resource that no worker has is left out.
    """
    return max(
        used.cpu_millis / total.cpu_millis if total.cpu_millis else 0.0,
        used.memory_mb / total.memory_mb if total.memory_mb else 0.0,
        used.accelerators / total.accelerators if total.accelerators else 0.0,
    )


def find_level(claims: Sequence[Claim], available: Resources) -> float:
    """Return the dominant share per weight up to which all may rise.

    ``available`` is what the claims divide among them. The level is infinite
    if it suffices for all, otherwise that of the scarcest resource.
    """
    amounts = zip(
        (available.cpu_millis, available.memory_mb, available.accelerators),
        (
            [claim.wanted.cpu_millis for claim in claims],
            [claim.wanted.memory_mb for claim in claims],
            [claim.wanted.accelerators for claim in claims],
        ),
        strict=True,
    )
    return min(
        find_level_of_resource(claims, wanted, amount)
        for amount, wanted in amounts
    )


def find_level_of_resource(
    claims: Sequence[Claim], wanted: Sequence[int], available: int
) -> float:
    """Return the level at which the claims use up one resource.

    Between its lowest and its highest level, a claim's use rises in
    proportion to the level. So the sum of all is a polygon with a corner at
    each of these levels.
    """
    if sum(wanted) <= available:
        return inf
    corners = list[tuple[float, float]]()
    for claim, amount in zip(claims, wanted, strict=True):
        if amount <= 0 or claim.highest <= claim.lowest:
            continue
        slope = amount / (claim.highest - claim.lowest)
        corners.append((claim.lowest, slope))
        corners.append((claim.highest, -slope))
    corners.sort()
    level = used = slope_sum = 0.0
    for corner, change in corners:
        reached = used + slope_sum * (corner - level)
        if reached >= available and slope_sum > 0:
            return level + max(0.0, available - used) / slope_sum
        level, used = corner, reached
        slope_sum += change
    return level
