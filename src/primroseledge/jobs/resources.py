"""What a task needs and a worker has."""

from msgspec import Struct


class Resources(Struct, frozen=True, array_like=True):
    """Amounts of processor, memory and accelerators."""

    cpu_millis: int = 0
    memory_mb: int = 0
    accelerators: int = 0

    def plus(self, other: 'Resources') -> 'Resources':
        """Return the sum of both."""
        return Resources(
            self.cpu_millis + other.cpu_millis,
            self.memory_mb + other.memory_mb,
            self.accelerators + other.accelerators,
        )

    def minus(self, other: 'Resources') -> 'Resources':
        """Return what is left after taking the other away."""
        return Resources(
            self.cpu_millis - other.cpu_millis,
            self.memory_mb - other.memory_mb,
            self.accelerators - other.accelerators,
        )

    def times(self, count: int) -> 'Resources':
        """Return this amount several times."""
        return Resources(
            self.cpu_millis * count,
            self.memory_mb * count,
            self.accelerators * count,
        )

    def fits_in(self, capacity: 'Resources') -> bool:
        """Tell whether this much room is there."""
        return (
            self.cpu_millis <= capacity.cpu_millis
            and self.memory_mb <= capacity.memory_mb
            and self.accelerators <= capacity.accelerators
        )

    def is_within(self, limit: 'Resources') -> bool:
        """Tell whether a bound is kept; an amount of 0 bounds nothing."""
        return (
            (not limit.cpu_millis or self.cpu_millis <= limit.cpu_millis)
            and (not limit.memory_mb or self.memory_mb <= limit.memory_mb)
            and (
                not limit.accelerators
                or self.accelerators <= limit.accelerators
            )
        )


NO_RESOURCES = Resources()
