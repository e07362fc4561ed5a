"""A bare forwarder of cheroot and urllib3: the least that a hop costs."""

from collections.abc import Callable
from collections.abc import Iterable
from contextlib import ExitStack
import sys
from typing import Any

from msgspec import json
from urllib3.poolmanager import PoolManager

from standins.http_app import serve_until_stopped

StartResponse = Callable[[str, list[tuple[str, str]]], Any]


class Forwarder:
    """Sends each request on to one upstream."""

    def __init__(self, upstream: str) -> None:
        self.upstream = upstream
        self.pool = PoolManager(maxsize=100, retries=False)

    def __call__(
        self, environ: dict[str, Any], start_response: StartResponse
    ) -> Iterable[bytes]:
        """Forward one request."""
        length = int(environ.get('CONTENT_LENGTH') or 0)
        headers = {
            name[5:].replace('_', '-').title(): value
            for name, value in environ.items()
            if name.startswith('HTTP_') and name != 'HTTP_HOST'
        }
        response = self.pool.request(
            environ['REQUEST_METHOD'],
            f'http://{self.upstream}{environ["PATH_INFO"]}',
            body=environ['wsgi.input'].read(length),
            headers=headers,
            redirect=False,
        )
        answer = [
            (name, value)
            for name, value in response.headers.items()
            if name.lower() not in ('connection', 'keep-alive')
        ]
        start_response(f'{response.status} {response.reason}', answer)
        return [response.data]


def main(arguments: list[str]) -> None:
    """Forward to the given address."""
    with ExitStack() as resources:
        serve_until_stopped(
            Forwarder(arguments[0]),
            lambda port: print(json.encode({'port': port}).decode()),
            resources,
            threads=100,
        )


if __name__ == '__main__':
    main(sys.argv[1:])
