"""A process that stops itself between a decision and its sending.

Run as ``python -m tests.paused_sender ADDRESS``: it owns the fleet for
``LEASE_S``, sends a start to the worker at the address, and stops itself
(SIGSTOP) once the connection is open. When it is continued it sends the rest
and prints the result.
"""

from os import getpid
from os import kill
from queue import SimpleQueue
from signal import SIGSTOP
import sys
from time import sleep
from typing import Any
from typing import Final
from unittest.mock import patch

from urllib3.connection import HTTPConnection

from primroseledge.clock import boot_time
from primroseledge.cluster.fleet_ownership import FleetOwnership
from primroseledge.cluster.fleet_ownership import FleetOwnershipState
from primroseledge.cluster.owner_rights import OwnerRights
from primroseledge.cluster.worker_links import WorkerLinks
from primroseledge.ids import Boot
from primroseledge.ids import Epoch
from primroseledge.ids import JobId
from primroseledge.ids import WorkerId
from primroseledge.jobs.task import TaskKey
from primroseledge.platform.worker_client import PlatformWorkerClient
from primroseledge.scheduling.actions import SendStart
from primroseledge.scheduling.actions import Target

LEASE_S: Final = 0.5
EPOCH: Final = Epoch(3)
TASK: Final = TaskKey(JobId('0' * 16), 0, 0, 0)


class Results:
    """An inbox whose items are taken out."""

    def __init__(self) -> None:
        self.items: SimpleQueue[Any] = SimpleQueue()

    def post(self, item: Any) -> None:
        self.items.put(item)


def owner_for(lease_s: float) -> OwnerRights:
    """Return the rights of an owner whose lease lasts so long from now."""
    ownership = FleetOwnership(FleetOwnershipState.OWNING, EPOCH)
    ownership.lease_expires_at = boot_time() + lease_s
    return OwnerRights(ownership)


def main(address: str) -> None:
    """Send the start, with a stop in between; print the result."""
    connect = HTTPConnection.connect

    def connect_and_stop(connection: HTTPConnection) -> None:
        connect(connection)
        kill(getpid(), SIGSTOP)
        # Another thread may take the signal; this one stops soon after.
        sleep(LEASE_S / 5)

    inbox = Results()
    links = WorkerLinks(inbox, PlatformWorkerClient, owner_for(LEASE_S))
    target = Target(WorkerId('w'), Boot(1), address)
    with patch.object(HTTPConnection, 'connect', connect_and_stop):
        links.submit(SendStart(target, TASK, 1, '', '', 9), EPOCH)
        print(inbox.items.get(timeout=5.0).report.result.name)
    links.close()


if __name__ == '__main__':
    main(sys.argv[1])
