"""HTTP client of the advisory service.

The service decides which workers may run a step and issues a ticket for
each of them.
"""

from typing import Final

from msgspec import json

from primroseledge.clock import boot_time
from primroseledge.http_client import HttpClient
from primroseledge.http_client import NoAnswerError
from primroseledge.http_client import NotSentError
from primroseledge.ids import WorkerId
from primroseledge.platform.wire import MALFORMED_ERRORS
from primroseledge.platform.wire import WireAdviceResponse
from primroseledge.scheduling.advice import AdviceAnswered
from primroseledge.scheduling.advice import AdviceFailed
from primroseledge.scheduling.advice import RequestAdvice

CALL_TIMEOUT_S: Final = 3.0
"""In seconds; long, as the service needs time for each worker in a call."""

OK: Final = 200


class PlatformAdviceClient:
    """Client of the advisory service with a connection of its own."""

    def __init__(self, address: str) -> None:
        self.client = HttpClient(address)

    def close(self) -> None:
        """Close the connection to the service."""
        self.client.close()

    def request_advice(
        self, request: RequestAdvice
    ) -> AdviceAnswered | AdviceFailed:
        """Ask the service which of the named workers may run a step.

        Return their tickets, or AdviceFailed if the call failed or its
        response cannot be decoded. The validity of the tickets counts
        from when the request was sent.
        """
        key = request.step
        body = {
            'step': f'{key.job}.{key.occurrence}.{key.step}',
            'workers': request.workers,
        }
        sent_at = boot_time()
        try:
            answer = self.client.call(
                'POST', '/-/advise', json.encode(body), CALL_TIMEOUT_S
            )
            if answer.status != OK:
                return AdviceFailed(
                    request, f'unexpected status {answer.status}'
                )
            advice = json.decode(answer.body, type=WireAdviceResponse)
        except (NotSentError, NoAnswerError, *MALFORMED_ERRORS) as error:
            return AdviceFailed(request, str(error))
        return AdviceAnswered(
            request,
            {WorkerId(worker): ticket for worker, ticket in advice.allowed},
            advice.validity_ms / 1000,
            sent_at,
        )
