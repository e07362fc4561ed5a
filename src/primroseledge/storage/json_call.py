"""Calls over HTTP with JSON, and what is known when one fails."""

from collections.abc import Mapping
from collections.abc import Sequence
from contextlib import ExitStack
from dataclasses import dataclass
from typing import Any
from typing import Final
from urllib.parse import urlencode
from urllib.parse import urlsplit

from msgspec import json

from primroseledge.errors import PrimroseledgeError
from primroseledge.http_client import HttpClient
from primroseledge.http_client import NoAnswerError
from primroseledge.http_client import NotSentError

OK: Final = 200
DOWN: Final = 503
CONNECTIONS: Final = 4
"""Threads that share a caller and may wait for answers at once."""

DEFAULT_PORTS: Final = {'http': 80, 'https': 443}


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


@dataclass(frozen=True, slots=True)
class Endpoint:
    """A client of one URL, and the path that the URL begins with."""

    client: HttpClient
    path: str


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
        self.timeout_s = timeout_s
        self.headers = headers
        self.resources = ExitStack()
        self.endpoints = [create_endpoint(url) for url in urls]
        for endpoint in self.endpoints:
            self.resources.callback(endpoint.client.close)

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
        for endpoint in self.endpoints:
            try:
                return self.call_one(endpoint, path, method, fields, wait_s)
            except NotReachedError as error:
                last = error
        raise last

    def call_one(
        self,
        endpoint: Endpoint,
        path: str,
        method: str,
        fields: Mapping[str, Any],
        wait_s: float,
    ) -> bytes:
        """Make one call to one URL."""
        is_get = method == 'GET'
        target = f'{endpoint.path}/{path}'
        if is_get and fields:
            target = f'{target}?{urlencode(fields)}'
        try:
            answer = endpoint.client.call(
                method,
                target,
                None if is_get else json.encode(fields),
                self.timeout_s + wait_s,
                self.headers,
            )
        except NotSentError as error:
            raise NotReachedError(str(error)) from error
        except NoAnswerError as error:
            # A read has no effect, so its answer's loss is no doubt.
            kind = NotReachedError if is_get else LostAnswerError
            raise kind(str(error)) from error
        if answer.status == DOWN:
            raise NotReachedError('the service is down')
        if answer.status != OK:
            text = answer.body.decode(errors='replace')
            raise StatusError(answer.status, text)
        return answer.body


def create_endpoint(url: str) -> Endpoint:
    """Return the endpoint of an ``http`` or ``https`` URL."""
    parts = urlsplit(url)
    port = parts.port or DEFAULT_PORTS.get(parts.scheme, 80)
    client = HttpClient(
        f'{parts.hostname}:{port}', CONNECTIONS, parts.scheme == 'https'
    )
    return Endpoint(client, parts.path.rstrip('/'))
