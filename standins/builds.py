"""Earlier builds of the entry instances, from the repository's history."""

from io import BytesIO
import os
from pathlib import Path
import subprocess
import sys
import tarfile
from typing import Final

REPOSITORY: Final = Path(__file__).resolve().parents[1]
PRESENT: Final = 'present'
"""Names the build of the working tree."""

PATH_VARIABLE: Final = 'PYTHONPATH'


def export_build(revision: str, folder: Path) -> Path | None:
    """Write the sources of a revision to a folder; return their path.

    None stands for ``PRESENT``. Raises CalledProcessError if the history does
    not have the revision, and AssertionError if Python would not take the
    package from there.
    """
    if revision == PRESENT:
        return None
    archive = subprocess.run(
        ['git', 'archive', revision, 'src'],
        cwd=REPOSITORY,
        stdout=subprocess.PIPE,
        check=True,
    )
    target = folder / revision
    with tarfile.open(fileobj=BytesIO(archive.stdout)) as files:
        files.extractall(target, filter='data')
    source = target / 'src'
    found = subprocess.run(
        [sys.executable, '-c', 'import primroseledge as p; print(p.__file__)'],
        env=environment_of(source),
        stdout=subprocess.PIPE,
        text=True,
        check=True,
    )
    assert Path(found.stdout.strip()).is_relative_to(source), found.stdout
    return source


def environment_of(source: Path | None) -> dict[str, str]:
    """Return the environment of a process that runs a build."""
    if source is None:
        return dict(os.environ)
    return {**os.environ, PATH_VARIABLE: str(source)}
