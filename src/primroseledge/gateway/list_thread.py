"""The thread that reads the platform's list of instances."""

from dataclasses import dataclass
from threading import Event as Flag
from threading import Thread
from time import monotonic
from typing import Final

from primroseledge.gateway.loop import Loop
from primroseledge.gateway.node import Node
from primroseledge.policy.policy_state import Listing
from primroseledge.requests.actions import Action
from primroseledge.storage.task_service import InstanceService
from primroseledge.storage.task_service import PlatformError

POLL_S: Final = 1.0
"""With the list's own lag of 2 s, a leaving upstream is noted in 3 s."""


@dataclass(frozen=True, slots=True)
class ListRead:
    """The platform's list as read."""

    listing: Listing

    def deliver(self, node: Node, now: float) -> list[Action]:
        """Give it to the node."""
        return node.list_read(self.listing, now)


class ListThread:
    """Reads the list about once a second and posts it to the loop.

    A read that fails posts nothing: what was leaving still counts as
    leaving, and the controllers see the list grow old.
    """

    def __init__(self, loop: Loop, service: InstanceService) -> None:
        self.loop = loop
        self.service = service
        self.stopped = Flag()
        self.thread = Thread(target=self.run, name='list', daemon=True)

    def start(self) -> None:
        """Start the thread."""
        self.thread.start()

    def stop(self) -> None:
        """Ask the thread to end; it may still wait for an answer."""
        self.stopped.set()

    def run(self) -> None:
        """Read until stopped; a slow read shortens the next pause."""
        while not self.stopped.is_set():
            began_at = monotonic()
            self.read(began_at)
            self.stopped.wait(max(0.1, began_at + POLL_S - monotonic()))

    def read(self, began_at: float) -> None:
        """Read the list once."""
        try:
            statuses = self.service.instances()
        except PlatformError:
            return
        lines = {status.instance: status for status in statuses}
        self.loop.post(ListRead(Listing(lines, began_at)))
