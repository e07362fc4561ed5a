"""Amounts of resources that tasks need and workers have."""

from msgspec import Struct


class Resources(Struct, frozen=True, array_like=True):
    """Amounts of processor time, memory and accelerators.

    ``cpu_millis`` are thousandths of a processor.
    """

    cpu_millis: int = 0
    memory_mb: int = 0
    accelerators: int = 0

    def plus(self, other: 'Resources') -> 'Resources':
        """Return the sum of this amount and another."""
        return Resources(
            self.cpu_millis + other.cpu_millis,
            self.memory_mb + other.memory_mb,
            self.accelerators + other.accelerators,
        )

    def minus(self, other: 'Resources') -> 'Resources':
        """Return this amount less another; components may be negative."""
        return Resources(
            self.cpu_millis - other.cpu_millis,
            self.memory_mb - other.memory_mb,
            self.accelerators - other.accelerators,
        )

    def times(self, count: int) -> 'Resources':
        """Return this amount multiplied by a count."""
        return Resources(
            self.cpu_millis * count,
            self.memory_mb * count,
            self.accelerators * count,
        )

    def fits_in(self, capacity: 'Resources') -> bool:
        """Return whether this amount is within a capacity."""
        return (
            self.cpu_millis <= capacity.cpu_millis
            and self.memory_mb <= capacity.memory_mb
            and self.accelerators <= capacity.accelerators
        )

    def is_within(self, limit: 'Resources') -> bool:
        """Return whether this amount is within a limit; 0 means no limit."""
        return (
            (not limit.cpu_millis or self.cpu_millis <= limit.cpu_millis)
            and (not limit.memory_mb or self.memory_mb <= limit.memory_mb)
            and (
                not limit.accelerators
                or self.accelerators <= limit.accelerators
            )
        )


NO_RESOURCES = Resources()
