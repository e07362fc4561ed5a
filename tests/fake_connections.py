"""Connections of the command line to a store in memory."""

from collections.abc import Sequence
from contextlib import AbstractContextManager
from contextlib import nullcontext
from typing import Any
from typing import Final

from click.testing import CliRunner
from click.testing import Result as CliResult
from msgspec import json

from primroseledge.cli import main
from primroseledge.errors import UnreachableError
from primroseledge.storage.store import Store
from tests.fake_store import FakeStore

STORE_URL: Final = 'http://store'


class FakeConnections:
    """A store, pages of entry instances, and a clock that sleeps move."""

    def __init__(self) -> None:
        self.store = FakeStore()
        self.pages: dict[str, Any] = {}
        self.seconds = 0.0
        self.keys_sent: list[str] = []

    def open_store(
        self, urls: Sequence[str], timeout_s: float, credentials: str
    ) -> AbstractContextManager[Store]:
        return nullcontext(self.store)

    def fetch(self, url: str, operator_key: str, timeout_s: float) -> bytes:
        self.keys_sent.append(operator_key)
        page = self.pages.get(url)
        if page is None:
            raise UnreachableError(f'{url}: no answer')
        if callable(page):
            page = page()
        return json.encode(page)

    def sleep(self, seconds: float) -> None:
        self.seconds += seconds

    def now(self) -> float:
        return self.seconds

    def wall_clock(self) -> float:
        return 1_700_000_000.0 + self.seconds

    def add_entry(self, name: str, lag_s: float = 0.0) -> str:
        """Add an entry instance that follows the store after a lag."""
        url = f'http://{name}'

        def page() -> dict[str, Any]:
            has_it = self.seconds >= lag_s
            return {
                'entry': name,
                'revision': self.store.revision if has_it else 0,
                'fresh': True,
                'members': [name],
            }

        self.pages[f'{url}/-/status'] = page
        return url

    def run(self, *arguments: str, **env: str) -> CliResult:
        """Run a command against these connections."""
        return CliRunner().invoke(
            main,
            [*arguments, '--store', STORE_URL],
            obj=self,
            env={'USER': 'ann', **env},
        )

    def run_json(self, *arguments: str, code: int = 0) -> Any:
        """Run a command, check its exit code, and decode its output."""
        result = self.run(*arguments, '--output', 'json')
        if result.exit_code != code:
            raise AssertionError(f'{result.exit_code}: {result.output}')
        return json.decode(result.stdout)
