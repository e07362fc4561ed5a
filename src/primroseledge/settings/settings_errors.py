"""Say in one line what is wrong with a settings file."""

from collections.abc import Sequence
from difflib import get_close_matches
import re
from typing import Any
from typing import Final

from msgspec import json

SECRET_FIELDS: Final = ('curve', 'store_credentials')
HIDDEN: Final = '<hidden>'


def explain_error(text: str, raw: Any, names: Sequence[str]) -> str:
    """Turn a decoder's error into a line with field and value.

    ``raw`` is the decoded JSON, ``names`` are the settings that exist.
    The value of a secret setting is not shown.
    """
    match = re.fullmatch(r'(.*?)(?: - at `(.*)`)?', text, re.DOTALL)
    problem, path = (match[1], match[2] or '$') if match else (text, '$')
    field = path.removeprefix('$').removeprefix('.')
    unknown = re.search(r'unknown field `(.*)`', problem)
    if unknown:
        return describe_unknown(field, unknown[1], names)
    missing = re.search(r'missing required field `(.*)`', problem)
    if missing:
        return f'{join_path(field, missing[1])}: missing; it has no default'
    problem = problem[:1].lower() + problem[1:]
    if not field:
        return f'settings: {problem}'
    is_secret = field.startswith(SECRET_FIELDS)
    value = HIDDEN if is_secret else find_value(path, raw)
    return f'{field}: {value}: {problem}'


def describe_unknown(parent: str, name: str, names: Sequence[str]) -> str:
    """Say that a setting does not exist, and which one is close."""
    stem = re.sub(r'_(ms|us|ns|s|sec|seconds|minutes|kb|mb|bytes)$', '', name)
    close = [known for known in names if known.rsplit('_', 1)[0] == stem]
    close = close or get_close_matches(name, names, n=1)
    hint = f'; did you mean {close[0]!r}?' if close else ''
    return f'{join_path(parent, name)}: unknown setting{hint}'


def join_path(parent: str, name: str) -> str:
    """Return the path of a field in a section."""
    return f'{parent}.{name}' if parent else name


def find_value(path: str, raw: Any) -> str:
    """Return the JSON text of the value at a decoder's path."""
    value = raw
    for name, index in re.findall(r'\.(\w+)|\[(\d+|\.\.\.)\]', path):
        if name and isinstance(value, dict):
            value = value.get(name)
        elif index.isdigit() and isinstance(value, list):
            value = value[int(index)]
    return json.encode(value).decode()[:80]
