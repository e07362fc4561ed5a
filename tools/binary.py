"""Build the one file that ships, and check it.

Usage: ``python -m tools.binary [--check-only]``. PyInstaller collects
the program in a directory; a small launcher in C, with that directory
appended, unpacks it in a memory file system and becomes it by execv.
Exits with 77 when there is no C compiler, and nothing was run.
"""

from collections.abc import Iterator
from contextlib import ExitStack
from hashlib import sha256
from os import environ
from pathlib import Path
import re
from shutil import rmtree
from shutil import which
from socket import socket
import stat
from struct import pack
import subprocess
import sys
from tempfile import TemporaryDirectory
from time import monotonic
from time import sleep

from msgspec import json
from urllib3 import exceptions
from urllib3 import PoolManager

ROOT: Path = Path(__file__).resolve().parent.parent
BUILD: Path = ROOT / 'build' / 'binary'
BINARY: Path = ROOT / 'dist' / 'primroseledge'
MAGIC: bytes = b'PRLEDGE1'
MEMORY: Path = Path('/tmp')
UNPACK_VARIABLE: str = 'PRIMROSELEDGE_UNPACK_DIR'
DIGEST_CHARACTERS: int = 16
EXCLUDED: tuple[str, ...] = (
    *('tkinter', 'setuptools', 'pip', 'pydantic', 'typer', 'rich'),
    *('hypothesis', 'unittest', 'lib2to3', 'pydoc', 'sqlite3', 'curses'),
)
START_TIMEOUT_S: float = 30.0
STOP_TIMEOUT_S: float = 60.0
EXIT_NOT_RUN: int = 77
GOOD_SETTINGS: str = (
    '{"entry_id": "a", "zone": "z", "http_host": "127.0.0.1",'
    ' "peer_host": "127.0.0.1", "store_urls": ["http://127.0.0.1:1"]}'
)
STARTS_PROCESS: re.Pattern[str] = re.compile(r'\b(?:v?fork|clone3?)\(')


def build() -> None:
    """Build the binary."""
    rmtree(BUILD, ignore_errors=True)
    BUILD.mkdir(parents=True)
    BINARY.parent.mkdir(exist_ok=True)
    directory = collect_program()
    launcher = compile_launcher()
    payload = b''.join(pack_tree(directory))
    digest = sha256(payload).hexdigest()[:DIGEST_CHARACTERS].encode()
    footer = pack('<Q', len(launcher)) + digest + MAGIC
    BINARY.write_bytes(launcher + payload + footer)
    BINARY.chmod(0o755)
    print(f'{BINARY}: {BINARY.stat().st_size} bytes')


def collect_program() -> Path:
    """Run PyInstaller and return the directory that it fills."""
    script = BUILD / 'start.py'
    script.write_text('from primroseledge.cli import main\n\nmain()\n')
    excluded = [f'--exclude-module={name}' for name in EXCLUDED]
    subprocess.run(
        [
            *(sys.executable, '-m', 'PyInstaller', '--onedir', '--noconfirm'),
            *('--log-level', 'WARN', '--name', 'primroseledge'),
            *(('--strip',) if which('strip') else ()),
            *('--distpath', str(BUILD / 'out')),
            *('--workpath', str(BUILD / 'work')),
            *('--specpath', str(BUILD), '--paths', str(ROOT / 'src')),
            *('--collect-submodules', 'primroseledge'),
            *('--collect-data', 'primroseledge'),
            *('--copy-metadata', 'opentelemetry-api'),
            *('--hidden-import', 'opentelemetry.context.contextvars_context'),
            *excluded,
            str(script),
        ],
        check=True,
    )
    return BUILD / 'out' / 'primroseledge'


def compile_launcher() -> bytes:
    """Compile the launcher and return its bytes."""
    target = BUILD / 'launcher'
    source = ROOT / 'tools' / 'launcher.c'
    subprocess.run(
        ['gcc', '-O2', '-Wall', '-Wextra', '-s', '-o', target, source],
        check=True,
    )
    return target.read_bytes()


def pack_tree(directory: Path) -> Iterator[bytes]:
    """Yield the launcher's entries, a directory before what is in it."""
    for path in sorted(directory.rglob('*')):
        mode = path.lstat().st_mode
        if stat.S_ISLNK(mode):
            data = str(path.readlink()).encode()
        elif stat.S_ISDIR(mode):
            data = b''
        else:
            data = path.read_bytes()
        name = str(path.relative_to(directory)).encode()
        yield pack('<IIQ', len(name), mode, len(data)) + name + data


def find_problems() -> Iterator[str]:
    """Yield a line for each thing that the built file does wrong."""
    with TemporaryDirectory(dir=MEMORY if MEMORY.is_dir() else None) as name:
        directory = Path(name)
        settings = directory / 'settings.json'
        settings.write_text(GOOD_SETTINGS)
        wrong = directory / 'wrong.json'
        wrong.write_text(GOOD_SETTINGS.replace('"z"', '3'))
        for text, code, arguments in (
            ('version 0.1.0', 0, ('--version',)),
            ('right', 0, ('config', 'check', str(settings))),
            ('zone: 3', 2, ('config', 'check', str(wrong))),
            ('zone: 3', 2, ('entry', '--settings', str(wrong))),
        ):
            yield from expect(text, code, directory, *arguments)
        yield from check_entry(directory)
        yield from find_started_processes(directory)
        yield from check_trust(directory)


def run(directory: Path, *command: str) -> subprocess.CompletedProcess[str]:
    """Run a command that unpacks below a directory."""
    return subprocess.run(
        command,
        capture_output=True,
        text=True,
        check=False,
        env={**environ, UNPACK_VARIABLE: str(directory)},
    )


def expect(
    text: str, code: int, directory: Path, *arguments: str
) -> Iterator[str]:
    """Run the file and yield a line if it says or returns another."""
    result = run(directory, str(BINARY), *arguments)
    shown = result.stdout + result.stderr
    if result.returncode != code or text not in shown:
        yield f'{arguments}: code {result.returncode}: {shown}'


def check_entry(directory: Path) -> Iterator[str]:
    """Run an entry instance without a store; it starts no process."""
    ports = free_ports(3)
    names = ('http_port', 'peer_port', 'metrics_port')
    settings = json.decode(GOOD_SETTINGS)
    settings.update(zip(names, ports, strict=True))
    path = directory / 'entry.json'
    path.write_bytes(json.encode(settings))
    process = subprocess.Popen(
        [str(BINARY), 'entry', '--settings', str(path)],
        env={**environ, UNPACK_VARIABLE: str(directory)},
        stderr=subprocess.DEVNULL,
    )
    try:
        if not wait_live(f'http://127.0.0.1:{ports[0]}/-/live', process):
            yield 'entry: it does not answer'
        for path in Path(f'/proc/{process.pid}/task').glob('*/children'):
            if path.read_text():
                yield f'entry: it has started {path.read_text()}'
        process.terminate()
        if process.wait(STOP_TIMEOUT_S) != 0:
            yield f'entry: code {process.returncode} after SIGTERM'
    finally:
        process.kill()
        process.wait()


def free_ports(count: int) -> list[int]:
    """Return ports that were free just now."""
    with ExitStack() as resources:
        sockets = [resources.enter_context(socket()) for _ in range(count)]
        for item in sockets:
            item.bind(('127.0.0.1', 0))
        return [int(item.getsockname()[1]) for item in sockets]


def wait_live(url: str, process: subprocess.Popen[bytes]) -> bool:
    """Wait until a page answers; return whether it did."""
    deadline = monotonic() + START_TIMEOUT_S
    with PoolManager(retries=False) as pool:
        while monotonic() < deadline and process.poll() is None:
            try:
                return pool.request('GET', url).status == 200
            except exceptions.HTTPError:
                sleep(0.05)
    return False


def check_trust(directory: Path) -> Iterator[str]:
    """Check that a directory that others may write is refused."""
    for path in directory.glob('primroseledge-*'):
        path.chmod(0o777)
    yield from expect('not permitted', 4, directory, '--version')


def find_started_processes(directory: Path) -> Iterator[str]:
    """Yield the calls by which the file starts another process."""
    tracer = which('strace')
    if tracer is None:
        print('strace is missing: started processes were not checked')
        return
    trace = directory / 'trace'
    command = (tracer, '-f', '-o', str(trace), '-e', 'trace=process')
    result = run(directory, *command, str(BINARY), '--version')
    calls = trace.read_text().splitlines() if trace.exists() else []
    if result.returncode != 0 or not any('execve(' in call for call in calls):
        yield f'strace: code {result.returncode}: {result.stderr}'
    for call in calls:
        if STARTS_PROCESS.search(call) and 'CLONE_THREAD' not in call:
            yield f'it starts a process: {call}'


def main(arguments: list[str]) -> int:
    """Build unless told not to, check, and return the exit code."""
    if which('gcc') is None:
        print('binary: not run: gcc is missing')
        return EXIT_NOT_RUN
    if '--check-only' not in arguments:
        build()
    problems = list(find_problems())
    for problem in problems:
        print(problem)
    return 1 if problems else 0


if __name__ == '__main__':
    sys.exit(main(sys.argv[1:]))
