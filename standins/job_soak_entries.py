"""The entry instances of a soak on the job path as processes."""

from contextlib import ExitStack
from pathlib import Path
from signal import SIGCONT
from signal import SIGHUP
from signal import SIGKILL
from signal import SIGSTOP
from signal import SIGTERM
from subprocess import Popen
from subprocess import TimeoutExpired
from threading import RLock
from time import sleep
from typing import Any
from typing import Final

from primroseledge.http_client import HttpClient
from primroseledge.http_client import NoAnswerError
from primroseledge.http_client import NotSentError
from standins.processes import start_on_platform

KILL_AFTER_S: Final = 16.0
"""In seconds; it covers the grace period and the longest pause in it."""


class EntryProcesses:
    """Entry instances by name; ``ended`` tells of unwanted ends.

    ``sources`` has the builds that instances run, where it is not
    ``first_source``; None stands for that of this tree.
    """

    def __init__(self, resources: ExitStack, folder: Path) -> None:
        self.resources = resources
        self.folder = folder
        self.settings: dict[str, dict[str, Any]] = {}
        self.processes: dict[str, Popen[bytes]] = {}
        self.locks: dict[str, RLock] = {}
        self.ended: list[str] = []
        self.first_source: Path | None = None
        self.sources: dict[str, Path | None] = {}

    def add(self, name: str, settings: dict[str, Any]) -> None:
        """Add an entry instance, which is not started yet."""
        self.settings[name] = settings
        self.locks[name] = RLock()

    def start(self, name: str) -> None:
        """Start an entry instance."""
        with (self.folder / f'{name}.log').open('ab') as log:
            self.processes[name] = start_on_platform(
                self.resources,
                self.settings[name],
                self.folder,
                log.fileno(),
                self.sources.get(name, self.first_source),
            )

    def signal(self, name: str, number: int) -> None:
        """Send a signal to an entry instance, if it still runs."""
        if self.processes[name].poll() is None:
            self.processes[name].send_signal(number)

    def note_ended(self, name: str) -> None:
        """Note an entry instance that has ended by itself."""
        code = self.processes[name].poll()
        if code is not None:
            self.ended.append(f'{name} with {code}')

    def kill(self, name: str, gap_s: float) -> None:
        """Kill an entry instance, and start it again after a gap."""
        with self.locks[name]:
            self.note_ended(name)
            self.signal(name, SIGKILL)
            self.processes[name].wait()
            sleep(gap_s)
            self.start(name)

    def terminate(self, name: str, gap_s: float) -> None:
        """Let an entry instance leave, and start it again after a gap."""
        with self.locks[name]:
            self.note_ended(name)
            self.signal(name, SIGTERM)
            try:
                self.processes[name].wait(KILL_AFTER_S)
            except TimeoutExpired:
                self.ended.append(f'{name} had to be killed')
                self.signal(name, SIGKILL)
                self.processes[name].wait()
            sleep(gap_s)
            self.start(name)

    def replace(self, name: str, source: Path | None, gap_s: float) -> None:
        """Let an entry instance leave, and start another build of it."""
        with self.locks[name]:
            self.sources[name] = source
            self.terminate(name, gap_s)

    def stop_all(self) -> None:
        """Ask all entry instances to leave, at once."""
        for name in self.settings:
            self.note_ended(name)
            self.signal(name, SIGTERM)

    def pause(self, name: str, seconds: float) -> None:
        """Stop an entry instance for a while."""
        process = self.processes[name]
        process.send_signal(SIGSTOP)
        sleep(seconds)
        process.send_signal(SIGCONT)

    def reload(self, name: str) -> None:
        """Tell an entry instance that its settings have changed."""
        self.signal(name, SIGHUP)

    def are_ready(self) -> bool:
        """Tell whether all entry instances are ready."""
        return all(self.is_ready(name) for name in self.settings)

    def is_ready(self, name: str) -> bool:
        """Tell whether an entry instance takes callers."""
        client = HttpClient(self.settings[name]['ready_address'])
        try:
            return client.call('GET', '/-/readiness', None, 0.5).status == 200
        except (NotSentError, NoAnswerError):
            return False
        finally:
            client.close()

    def callers(self) -> dict[str, str]:
        """Return the entry instances' addresses for callers."""
        return {
            name: settings['caller_address']
            for name, settings in self.settings.items()
        }
