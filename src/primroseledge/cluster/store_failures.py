"""Results of the store thread's commands that raised.

Nothing is known of such a command: it may have been carried out. So a claim
counts as lost until the owner record is read, and what was to be stored or
restored ends the ownership; the next owner reads what the store holds.
"""

from typing import assert_never

from primroseledge.cluster.commands import ClaimLost
from primroseledge.cluster.commands import ClaimOwner
from primroseledge.cluster.commands import LeaveMembers
from primroseledge.cluster.commands import ListWorkers
from primroseledge.cluster.commands import MemberLeft
from primroseledge.cluster.commands import OwnerReleased
from primroseledge.cluster.commands import OwnershipLost
from primroseledge.cluster.commands import ReleaseOwner
from primroseledge.cluster.commands import RestoreJobs
from primroseledge.cluster.commands import StoreBatch
from primroseledge.cluster.commands import WorkerListFailed

StoreCommand = (
    ClaimOwner
    | RestoreJobs
    | StoreBatch
    | ReleaseOwner
    | LeaveMembers
    | ListWorkers
)
FailedCommand = (
    ClaimLost | OwnershipLost | OwnerReleased | MemberLeft | WorkerListFailed
)


def fail_command(command: StoreCommand, error: Exception) -> FailedCommand:
    """Return the result of a command that raised an error."""
    problem = f'{type(error).__name__}: {error}'
    match command:
        case ClaimOwner():
            return ClaimLost(problem)
        case RestoreJobs() | StoreBatch():
            return OwnershipLost(command.epoch)
        case ReleaseOwner():
            return OwnerReleased(command.epoch)
        case LeaveMembers():
            return MemberLeft()
        case ListWorkers(epoch):
            return WorkerListFailed(problem, epoch)
        case _:
            assert_never(command)
