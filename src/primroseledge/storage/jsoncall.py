"""Calls over HTTP with JSON, and what is known when one fails."""

from collections.abc import Mapping
from collections.abc import Sequence
from contextlib import ExitStack
from typing import Any

from msgspec import json
from urllib3.exceptions import ConnectTimeoutError
from urllib3.exceptions import HTTPError
from urllib3.exceptions import NewConnectionError
from urllib3.poolmanager import PoolManager
from urllib3.util import Timeout

from primroseledge.errors import PrimroseledgeError

OK = 200
DOWN = 503


class CallError(PrimroseledgeError):
    """A call gave no answer that can be used."""


class NotReachedError(CallError):
    """The service was not reached or is down; nothing was done."""


class LostAnswerError(CallError):
    """The answer was lost; the call may or may not have taken effect."""


class StatusError(CallError):
    """The service answered with an error; the text is its body."""

    def __init__(self, status: int, text: str) -> None:
        super().__init__(f'status {status}: {text}')
        self.status = status
        self.text = text


class JsonCaller:
    """Keeps connections to one service and makes calls.

    The URLs are tried in turn while none could be reached, so a call
    that may have taken effect is not sent to a second one.
    """

    def __init__(
        self,
        urls: Sequence[str],
        timeout_s: float,
        headers: Mapping[str, str] | None = None,
    ) -> None:
        self.urls = tuple(url.rstrip('/') for url in urls)
        self.timeout_s = timeout_s
        self.resources = ExitStack()
        self.pool = PoolManager(retries=False, headers=headers)
        self.resources.callback(self.pool.clear)

    def close(self) -> None:
        """Close the connections."""
        self.resources.close()

    def call(
        self,
        method: str,
        path: str,
        fields: Mapping[str, Any],
        wait_s: float = 0.0,
    ) -> bytes:
        """Make one call and return its answer.

        ``wait_s`` is how long the service may hold the answer back.
        Raises NotReachedError, LostAnswerError and StatusError.
        """
        last = NotReachedError('no URL is set')
        for url in self.urls:
            try:
                return self.call_url(f'{url}/{path}', method, fields, wait_s)
            except NotReachedError as error:
                last = error
        raise last

    def call_url(
        self, url: str, method: str, fields: Mapping[str, Any], wait_s: float
    ) -> bytes:
        """Make one call to one URL."""
        is_get = method == 'GET'
        try:
            response = self.pool.request(
                method,
                url,
                fields=dict(fields) if is_get else None,
                body=None if is_get else json.encode(fields),
                timeout=Timeout(
                    connect=self.timeout_s, read=self.timeout_s + wait_s
                ),
            )
            data = response.data
        except (NewConnectionError, ConnectTimeoutError) as error:
            raise NotReachedError(str(error)) from error
        except HTTPError as error:
            # A read has no effect, so its answer's loss is no doubt.
            kind = NotReachedError if is_get else LostAnswerError
            raise kind(str(error)) from error
        if response.status == DOWN:
            raise NotReachedError('the service is down')
        if response.status != OK:
            text = data.decode(errors='replace')
            raise StatusError(response.status, text)
        return data
