"""Ids that an owner has refused, and which sendings of them may still run.

A refusal says *not run* of an id, so it must hold for each sending of the id
that began before the caller was told: those on their way as well. An owner
cannot date a message, as links delay it by any time. It goes by order: each
sending names the newest time of the owner's clock that its instance had
heard when the sending began, and an instance confirms that it has told a
refusal. A sending that began after the confirmation reached the owner is a
new attempt of the caller; any other is refused.

A pure value; times are of the owner's clock, in seconds.
"""

import collections
from dataclasses import dataclass
from dataclasses import field
from typing import Final
from typing import Generic
from typing import TypeVar

MAX_REFUSED: Final = 20_000

CLOCK_RATE_MARGIN: Final = 1.02
"""Clocks of two instances differ in rate by less than this factor."""

RefusalT = TypeVar('RefusalT')


@dataclass(slots=True)
class RefusedId(Generic[RefusalT]):
    """The refusals of one id.

    ``unconfirmed`` are the sendings whose callers may not have been told
    yet, each with the time after which they are not told any more.
    ``told_at`` is when the last of the others was confirmed.
    """

    refusal: RefusalT
    told_at: float
    forget_at: float
    unconfirmed: dict[str, float] = field(default_factory=dict)

    def confirm_expired(self, now: float) -> None:
        """Drop the sendings whose callers are not told any more."""
        for sending, ends_at in list(self.unconfirmed.items()):
            if ends_at <= now:
                del self.unconfirmed[sending]
                self.told_at = max(self.told_at, ends_at)


@dataclass(slots=True)
class RefusedIds(Generic[RefusalT]):
    """The refused ids of ``window_s`` seconds, at most ``max_entries``.

    Ids are dropped for want of room; sendings that did not begin after
    ``forgotten_at``, if that is set, may be of one of them.
    """

    window_s: float
    max_entries: int = MAX_REFUSED
    entries: collections.OrderedDict[str, RefusedId[RefusalT]] = field(
        default_factory=collections.OrderedDict
    )
    forgotten_at: float | None = None

    def refuse(
        self,
        refused_id: str,
        sending: str,
        refusal: RefusalT,
        remaining_s: float,
        now: float,
    ) -> None:
        """Record a refusal that the caller of a sending is yet to be told.

        It is told within ``remaining_s`` or never.
        """
        entry = self.record(refused_id, refusal, now)
        ends_at = now + max(0.0, remaining_s) * CLOCK_RATE_MARGIN
        entry.unconfirmed[sending] = ends_at
        entry.forget_at = max(entry.forget_at, ends_at + self.window_s)

    def record(
        self, refused_id: str, refusal: RefusalT, now: float
    ) -> RefusedId[RefusalT]:
        """Record a refusal that has been told, and return its entry."""
        forget_at = now + self.window_s
        entry = self.entries.get(refused_id)
        if entry is None:
            entry = RefusedId(refusal, now, forget_at)
            self.entries[refused_id] = entry
        entry.told_at = now
        entry.forget_at = max(entry.forget_at, forget_at)
        self.entries.move_to_end(refused_id)
        if len(self.entries) > self.max_entries:
            _, dropped = self.entries.popitem(last=False)
            ends = dropped.unconfirmed.values()
            self.forgotten_at = max([self.forgotten_at or now, now, *ends])
        return entry

    def confirm(self, refused_id: str, sending: str, now: float) -> None:
        """Note that the caller of a refused sending has been answered."""
        entry = self.entries.get(refused_id)
        if entry is not None and sending in entry.unconfirmed:
            del entry.unconfirmed[sending]
            entry.told_at = max(entry.told_at, now)

    def find(
        self, refused_id: str, begun_after: float, now: float
    ) -> RefusalT | None:
        """Return the refusal that holds for a sending, if there is one.

        ``begun_after`` is a time before which the sending did not begin.
        """
        entry = self.entries.get(refused_id)
        if entry is None:
            return None
        entry.confirm_expired(now)
        if entry.unconfirmed or begun_after <= entry.told_at:
            return entry.refusal
        return None

    def is_forgotten(self, begun_after: float) -> bool:
        """Return whether the refusal of a sending may have been dropped."""
        return (
            self.forgotten_at is not None and begun_after <= self.forgotten_at
        )

    def expire(self, now: float) -> None:
        """Drop the ids whose window is over."""
        while self.entries:
            entry = next(iter(self.entries.values()))
            if entry.forget_at > now:
                return
            self.entries.popitem(last=False)
