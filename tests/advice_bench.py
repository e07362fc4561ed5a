"""An engine bench with a queue whose workers the advisory service chooses."""

from primroseledge.ids import WorkerId
from primroseledge.jobs.configuration import AdviceConfig
from primroseledge.jobs.configuration import Queue
from primroseledge.scheduling.advice import AdviceAnswered
from primroseledge.scheduling.advice import RequestAdvice
from primroseledge.workers.worker import WorkerEntry
from tests.engine_bench import EngineBench
from tests.engine_bench import make_configuration
from tests.engine_bench import QUEUE
from tests.engine_bench import SERVICE


class AdviceBench(EngineBench):
    """An engine bench with a queue whose workers the service chooses."""

    def __init__(self, *workers: WorkerEntry) -> None:
        super().__init__(*workers)
        queue = Queue(
            QUEUE,
            'host',
            '/sheets/',
            SERVICE,
            max_attempts=2,
            advice=AdviceConfig(0.05, 0.01, 3.0),
        )
        configuration = make_configuration()
        configuration.queues[QUEUE] = queue
        self.engine.apply_configuration(configuration)

    def pop_advice_requests(self) -> list[RequestAdvice]:
        actions = self.pop_actions(RequestAdvice, lambda _: True)
        return [
            action for action in actions if isinstance(action, RequestAdvice)
        ]

    def answer_advice(self, request: RequestAdvice, *allowed: str) -> None:
        tickets = {WorkerId(name): f'ticket {name}' for name in allowed}
        answer = AdviceAnswered(request, tickets, 3.0, self.now)
        self.engine.handle_advice_answer(answer, self.now)
        self.reconcile()
        self.store_changes()

    def answer_all_advice(self, *allowed: str) -> set[str]:
        """Answer requests until none follows; return the workers named."""
        named = set[str]()
        while requests := self.pop_advice_requests():
            for request in requests:
                named.update(request.workers)
                self.answer_advice(
                    request, *set(allowed).intersection(request.workers)
                )
        return named
