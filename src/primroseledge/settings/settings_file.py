"""Read a settings file: decode it, check it, and explain what is wrong."""

from pathlib import Path

from msgspec import convert
from msgspec import DecodeError
from msgspec import json
from msgspec import ValidationError

from primroseledge.errors import SettingsError
from primroseledge.settings.settings import SECTIONS
from primroseledge.settings.settings import Settings
from primroseledge.settings.settings_checks import find_problems
from primroseledge.settings.settings_errors import explain_error


def load(path: str | Path) -> Settings:
    """Read and check a settings file.

    Raises SettingsError with one line that names field and value.
    """
    try:
        data = Path(path).read_bytes()
    except OSError as error:
        raise SettingsError(f'{path}: {error.strerror}') from error
    try:
        return parse(data)
    except SettingsError as error:
        raise SettingsError(f'{path}: {error}') from error


def parse(data: bytes | str) -> Settings:
    """Decode and check settings; raises SettingsError."""
    try:
        raw = json.decode(data)
    except DecodeError as error:
        raise SettingsError(f'not JSON: {error}') from error
    try:
        settings = convert(raw, Settings)
    except ValidationError as error:
        raise SettingsError(
            explain_error(str(error), raw, setting_names())
        ) from error
    for problem in find_problems(settings):
        raise SettingsError(problem)
    return settings


def setting_names() -> list[str]:
    """Return the names of all settings, also of those in sections."""
    return [name for section in SECTIONS for name in section.__struct_fields__]
