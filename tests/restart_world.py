"""A simulated fleet whose workers answer polls as they do after a restart."""

from primroseledge.ids import Boot
from primroseledge.ids import Epoch
from primroseledge.scheduling.actions import OrderResult
from primroseledge.scheduling.actions import PollAnswered
from primroseledge.scheduling.actions import PollFailed
from primroseledge.scheduling.actions import SendPoll
from tests.fleet_world import World
from tests.sim_node import SimNode


class RestartWorld(World):
    """A simulated fleet in which a poll also waits in the next boot.

    The worker does not know which boot is meant, so a poll waits for an end
    in any of them. Its connection is cut when that boot ends.
    """

    def deliver_poll(
        self,
        sim: SimNode,
        poll: SendPoll,
        epoch: Epoch,
        sent_at: float,
        deadline: float,
        boot: Boot | None = None,
    ) -> None:
        """Let a worker carry out a poll, which waits in ``boot`` already."""
        worker = self.workers[poll.target.worker]
        if not self.is_reachable(sim, worker):
            super().deliver_poll(sim, poll, epoch, sent_at, deadline)
            return
        report: PollAnswered | PollFailed = PollFailed(
            worker.id, poll.target.boot, OrderResult.UNANSWERED
        )
        if boot is None or boot == worker.boot:
            report = worker.look(poll, epoch, sent_at, self.now)
        is_carried_out = isinstance(report, PollAnswered) or bool(
            report.answering_boot
        )
        if is_carried_out and not worker.ended and self.now < deadline:
            boot = worker.boot
            self.schedule_after(
                0.01,
                lambda: self.deliver_poll(
                    sim, poll, epoch, sent_at, deadline, boot
                ),
            )
            return
        self.schedule_after(
            0.002, lambda: self.complete_poll(sim, report, epoch)
        )
