"""The HTTP face of the stand-in for the platform.

Instances are made known to it by ``POST /register``. ``GET /reboots``
returns each reboot with its times, in monotonic seconds, by which
tests judge whether a reboot cut anything.
"""

from collections.abc import Callable
from contextlib import ExitStack
import sys
from threading import Lock
from time import monotonic
from time import sleep
from typing import Any
from typing import TypeVar

from msgspec import convert
from msgspec import json
from msgspec import to_builtins

from primroseledge.ids import InstanceId
from primroseledge.ids import JobId
from primroseledge.storage.task_service import PlatformOutcomeUnknownError
from primroseledge.storage.task_service import PlatformUnavailableError
from primroseledge.storage.task_service import TaskSpec
from standins.http_app import Handler
from standins.http_app import HttpError
from standins.http_app import JsonApplication
from standins.http_app import serve_until_stopped
from standins.platform import Machine
from standins.platform import PlatformCore
from standins.platform import Program

ResultT = TypeVar('ResultT')


class PlatformService:
    """Answers calls one after the other, each at the present time."""

    def __init__(self, core: PlatformCore) -> None:
        self.core = core
        self.delay_s = 0.0
        self.reboots: list[dict[str, Any]] = []
        self.lock = Lock()

    def routes(self) -> JsonApplication:
        """Return the application that serves all calls."""
        core = self.core
        routes: dict[tuple[str, str], Handler] = {
            ('GET', '/instances'): lambda _: {
                'instances': to_builtins(self.do(core.instances))
            },
            ('GET', '/tasks'): lambda _: {
                'tasks': to_builtins(self.do(core.tasks))
            },
            ('GET', '/reboots'): lambda _: {'reboots': self.reboots},
            ('POST', '/drain'): self.command(core.drain),
            ('POST', '/undrain'): self.command(core.undrain),
            ('POST', '/reboot'): self.command(self.reboot),
            ('POST', '/submit'): lambda fields: self.command(core.submit)(
                {'spec': convert(fields, TaskSpec)}
            ),
            ('POST', '/keep_alive'): self.command(core.keep_alive),
            ('POST', '/checkpoint'): lambda fields: {
                'checkpoint': self.do(lambda: core.checkpoint(**fields))
            },
            ('POST', '/throttle'): self.command(core.throttle),
            ('POST', '/stop'): self.command(core.stop),
            ('POST', '/register'): self.register,
            ('POST', '/faults'): self.set_faults,
            ('POST', '/programs'): self.add_program,
        }
        return JsonApplication(routes)

    def command(self, call: Callable[..., None]) -> Handler:
        """Return the handler of a call that answers nothing."""

        def handle(fields: dict[str, Any]) -> dict[str, Any]:
            self.do(lambda: call(**fields))
            return {}

        return handle

    def do(self, call: Callable[[], ResultT]) -> ResultT:
        """Make a call of the core, with the faults that are set."""
        sleep(self.delay_s)
        with self.lock:
            self.core.advance(monotonic())
            try:
                return call()
            except PlatformUnavailableError as error:
                raise HttpError(503, str(error)) from error
            except PlatformOutcomeUnknownError as error:
                raise HttpError(0, str(error)) from error
            except KeyError as error:
                raise HttpError(404, f'there is no {error}') from error

    def reboot(self, instance: InstanceId, boot_id: str, image: str) -> None:
        """Reboot an instance and note when."""
        count = len(self.core.reboots)
        try:
            self.core.reboot(instance, boot_id, image)
        finally:
            if len(self.core.reboots) > count:
                now = self.core.now
                back_at = now + self.core.boot_s
                self.reboots.append(
                    {'instance': instance, 'at': now, 'back_at': back_at}
                )

    def register(self, fields: dict[str, Any]) -> dict[str, Any]:
        """Take an instance into the list, up since ``boot_age_s``."""
        with self.lock:
            booted_at = monotonic() - fields.get('boot_age_s', 0.0)
            machine = Machine(fields.get('image', ''), booted_at=booted_at)
            self.core.machines[InstanceId(fields['id'])] = machine
            self.core.lag_s, lag_s = 0.0, self.core.lag_s
            self.core.advance(monotonic())
            self.core.lag_s = lag_s
        return {}

    def add_program(self, fields: dict[str, Any]) -> dict[str, Any]:
        """Say what a job really does."""
        program = convert(fields['program'], Program)
        with self.lock:
            self.core.programs[JobId(fields['job'])] = program
        return {}

    def set_faults(self, fields: dict[str, Any]) -> dict[str, Any]:
        """Set faults; those not named stay.

        ``broken`` names an instance that fails, ``leaving`` one that
        the platform announces as leaving by itself.
        """
        with self.lock:
            self.delay_s = fields.get('delay_s', self.delay_s)
            self.core.is_down = fields.get('is_down', self.core.is_down)
            self.core.answers_to_lose = fields.get(
                'lose_answers', self.core.answers_to_lose
            )
            if 'broken' in fields:
                self.core.break_machine(InstanceId(fields['broken']))
            if 'leaving' in fields:
                self.core.drain(InstanceId(fields['leaving']), 'platform')
        return {}


def main(arguments: list[str]) -> None:
    """Serve on 127.0.0.1; print the port as one line of JSON.

    The arguments are the seconds of a boot and of the list's lag.
    """
    boot_s, lag_s = (float(text) for text in arguments or ('30', '2'))
    core = PlatformCore(boot_s=boot_s, lag_s=lag_s, now=monotonic())
    with ExitStack() as resources:
        serve_until_stopped(
            PlatformService(core).routes(),
            lambda port: print(json.encode({'port': port}).decode()),
            resources,
        )


if __name__ == '__main__':
    main(sys.argv[1:])
