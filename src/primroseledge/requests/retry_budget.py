"""A budget that keeps retries a fraction of the requests."""

from dataclasses import dataclass


@dataclass(slots=True)
class RetryBudget:
    """Allows retries as a fraction of the calls that arrived.

    ``ratio`` tokens are earned by an arrival, a retry spends one, and
    at most ``burst`` are kept.
    """

    ratio: float
    burst: float = 10.0
    tokens: float = 0.0

    def earn(self) -> None:
        """Count an arrival."""
        self.tokens = min(self.burst, self.tokens + self.ratio)

    def spend(self) -> bool:
        """Take one retry out of the budget; return whether there was."""
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True
