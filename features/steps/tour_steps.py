"""Steps that follow the README's first tour."""

from pathlib import Path
import re
import shlex
from tempfile import TemporaryDirectory
from time import monotonic
from time import sleep
from typing import Any

from behave import given
from behave import then
from behave import when
from click.testing import CliRunner
from click.testing import Result
from urllib3 import PoolManager

from primroseledge.cli import main
from tools.tour import start

ROOT = Path(__file__).resolve().parent.parent.parent
READY_TIMEOUT_S = 20.0
PROGRAM = 'primroseledge '


def read_commands() -> list[str]:
    """Return the tour's commands, each in one line."""
    text = (ROOT / 'README.md').read_text().split('## A first tour')[1]
    text = text.split('\n## ')[0].replace('\\\n', ' ')
    return re.findall(r'^    (.*)$', text, re.MULTILINE)


def run(context: Any, command: str) -> Result:
    for name, value in context.env.items():
        command = command.replace(f'${name}', value)
    arguments = shlex.split(command, comments=True)[1:]
    return CliRunner().invoke(main, arguments, env=context.env)


@given('tour: the deployment of the tour')
def step_deployment(context: Any) -> None:
    folder = context.resources.enter_context(TemporaryDirectory())
    context.folder = Path(folder)
    lines = start(context.resources, context.folder)
    context.env = {
        name: value.strip("'")
        for name, value in re.findall(r'export (\w+)=(.*)', '\n'.join(lines))
    }
    deadline = monotonic() + READY_TIMEOUT_S
    while run(context, 'primroseledge fleet status').exit_code != 0:
        assert monotonic() < deadline, 'the deployment does not get ready'
        sleep(0.1)


@when("tour: the README's commands are run in turn")
def step_run(context: Any) -> None:
    context.results = []
    for command in read_commands():
        if command.startswith('echo '):
            _, document, _, name = shlex.split(command)
            (context.folder / name).write_text(document)
        if command.startswith(PROGRAM):
            command = command.replace(
                'copper.json', str(context.folder / 'copper.json')
            )
            context.results.append((command, run(context, command)))


@then('tour: all are done, but the last, which a budget refuses')
def step_done(context: Any) -> None:
    *done, (command, last) = context.results
    assert len(done) >= 8, done
    for name, result in done:
        assert result.exit_code == 0, f'{name}: {result.output}'
    assert last.exit_code == 1, f'{command}: {last.output}'
    assert 'draining already: copper-1' in last.stderr, last.stderr


@then("tour: a request with the tour's key is answered")
def step_request(context: Any) -> None:
    shown = ''.join(result.stdout for _, result in context.results)
    key = re.search(r'^key: +(\S+)$', shown, re.MULTILINE)
    assert key, shown
    url = context.env['PRIMROSELEDGE_ENTRIES'].split()[0]
    with PoolManager(retries=False) as pool:
        answer = pool.request(
            'GET',
            f'{url}/services/copper/sheet',
            headers={'Authorization': f'Bearer {key[1]}'},
        )
    assert answer.status == 200, answer.data
