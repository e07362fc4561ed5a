"""An owner's evidence that its epoch stands."""

from primroseledge.agreement.freshness import majority
from primroseledge.agreement.freshness import NEVER
from primroseledge.agreement.freshness import nth_latest
from primroseledge.agreement.takeover import INFINITY
from primroseledge.ids import EntryId


class EpochEvidence:
    """When our own reads and others' heartbeats showed our epoch.

    ``read_at`` is when the newest such read began; ``votes`` date each
    peer's heartbeat by its echo.
    """

    def __init__(self) -> None:
        self.read_at = NEVER
        self.votes: dict[EntryId, float] = {}

    def note_read(self, began_at: float) -> None:
        """Take a call of the store that showed our epoch."""
        self.read_at = max(self.read_at, began_at)

    def note_vote(self, peer: EntryId, echoed_at: float) -> None:
        """Take a heartbeat of a peer that obeys our epoch."""
        self.votes[peer] = max(self.votes.get(peer, NEVER), echoed_at)

    def reset(self) -> None:
        """Forget all, for another epoch."""
        self.read_at = NEVER
        self.votes.clear()

    def latest(self, me: EntryId, members: tuple[EntryId, ...]) -> float:
        """Return the latest time at which the epoch surely stood.

        We vote for ourselves without end, so it is infinite for the
        only member.
        """
        times = [
            INFINITY if member == me else self.votes.get(member, NEVER)
            for member in members
        ]
        return max(self.read_at, nth_latest(times, majority(len(members))))
