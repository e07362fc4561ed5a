"""The platform's stand-in over HTTP, in real time.

Usage: ``python -m standins.platformserver``; prints its port as JSON.
``POST /v1/instances/add`` makes instances, ``POST /v1/programs/add``
says what jobs really do, ``POST /v1/faults`` sets faults.
"""

from collections.abc import Callable
from contextlib import ExitStack
from threading import Lock
from time import monotonic
from typing import Any

from msgspec import convert
from msgspec import json
from msgspec import to_builtins

from primroseledge.ids import InstanceId
from primroseledge.ids import JobId
from primroseledge.platform import PlatformOutcomeUnknownError
from primroseledge.platform import PlatformUnavailableError
from primroseledge.platform import TaskSpec
from standins.httpapp import Handler
from standins.httpapp import HttpError
from standins.httpapp import JsonApplication
from standins.httpapp import serve_until_stopped
from standins.platform import Machine
from standins.platform import PlatformCore
from standins.platform import Program

Fields = dict[str, Any]
Call = Callable[[Fields], Any]


class PlatformService:
    """Serves one core; each call first lets time pass."""

    def __init__(self, core: PlatformCore) -> None:
        self.core = core
        self.lock = Lock()

    def routes(self) -> JsonApplication:
        """Return the calls of the service."""
        core = self.core
        calls: dict[tuple[str, str], Call] = {
            ('GET', 'instances'): lambda _: core.instances(),
            ('POST', 'instances/drain'): lambda f: core.drain(**f),
            ('POST', 'instances/undrain'): lambda f: core.undrain(**f),
            ('POST', 'instances/reboot'): lambda f: core.reboot(**f),
            ('POST', 'instances/add'): self.add_instance,
            ('POST', 'instances/break'): self.break_instance,
            ('GET', 'tasks'): lambda _: core.tasks(),
            ('POST', 'tasks/submit'): lambda f: core.submit(
                convert(f, TaskSpec)
            ),
            ('POST', 'tasks/keep-alive'): lambda f: core.keep_alive(**f),
            ('POST', 'tasks/checkpoint'): lambda f: core.checkpoint(**f),
            ('POST', 'tasks/throttle'): lambda f: core.throttle(**f),
            ('POST', 'tasks/stop'): lambda f: core.stop(**f),
            ('POST', 'programs/add'): self.add_program,
            ('POST', 'faults'): self.set_faults,
        }
        return JsonApplication(
            {
                (method, f'/v1/{path}'): self._guard(call)
                for (method, path), call in calls.items()
            }
        )

    def add_instance(self, fields: Fields) -> None:
        """Add an instance that is up."""
        machine = convert(fields['machine'], Machine)
        machine.booted_at = self.core.now - fields.get('boot_age_s', 0.0)
        self.core.machines[InstanceId(fields['instance'])] = machine

    def break_instance(self, fields: Fields) -> None:
        """Let an instance fail."""
        self.core.break_machine(InstanceId(fields['instance']))

    def add_program(self, fields: Fields) -> None:
        """Say what a job really does."""
        program = convert(fields['program'], Program)
        self.core.programs[JobId(fields['job'])] = program

    def set_faults(self, fields: Fields) -> None:
        """Set ``is_down`` or ``answers_to_lose``."""
        self.core.is_down = fields.get('is_down', False)
        self.core.answers_to_lose = fields.get('answers_to_lose', 0)

    def _guard(self, call: Call) -> Handler:
        def handle(fields: Fields) -> Fields:
            with self.lock:
                self.core.advance(monotonic())
                try:
                    return {'value': to_builtins(call(fields))}
                except PlatformUnavailableError as error:
                    raise HttpError(503, str(error)) from error
                except PlatformOutcomeUnknownError as error:
                    raise HttpError(0, str(error)) from error
                except (KeyError, TypeError, ValueError) as error:
                    raise HttpError(400, repr(error)) from error

        return handle


def main() -> None:
    """Serve on 127.0.0.1; print the port as one line of JSON."""
    with ExitStack() as resources:
        core = PlatformCore(now=monotonic())
        serve_until_stopped(
            PlatformService(core).routes(),
            lambda port: print(json.encode({'port': port}).decode()),
            resources,
        )


if __name__ == '__main__':
    main()
