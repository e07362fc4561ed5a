"""The difference between two documents, field by field."""

from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any
from typing import Final

from msgspec import json
from msgspec import to_builtins

from primroseledge.storage.documents import Document

HIDDEN_FIELDS: Final = ('salt', 'digest')


@dataclass(frozen=True, slots=True)
class FieldChange:
    """One field that differs; a value is None where it is absent."""

    field: str
    before: Any
    after: Any

    def __str__(self) -> str:
        """Return the change as one line."""
        before = 'absent' if self.before is None else show(self.before)
        after = 'absent' if self.after is None else show(self.after)
        return f'{self.field}: {before} -> {after}'


def show(value: Any) -> str:
    """Return a value as JSON text."""
    return json.encode(value).decode()


def diff_documents(
    before: Document | None, after: Document | None
) -> list[FieldChange]:
    """Return the fields that differ, in order of their names."""
    old = flatten(before)
    new = flatten(after)
    return [
        FieldChange(name, old.get(name), new.get(name))
        for name in sorted(old.keys() | new.keys())
        if old.get(name) != new.get(name)
    ]


def flatten(document: Document | None) -> dict[str, Any]:
    """Return a document's fields by path, without hashes of keys."""
    if document is None:
        return {}
    return dict(walk('', to_builtins(document)))


def walk(path: str, value: Any) -> Iterator[tuple[str, Any]]:
    """Yield the leaves under a value with their paths."""
    items: list[tuple[str, Any]]
    if isinstance(value, dict):
        items = list(value.items())
    elif isinstance(value, (list, tuple)):
        items = [
            (item['id'], item)
            if isinstance(item, dict) and 'id' in item
            else (str(index), item)
            for index, item in enumerate(value)
        ]
    else:
        yield path, value
        return
    for name, item in items:
        if name not in HIDDEN_FIELDS:
            yield from walk(f'{path}.{name}' if path else name, item)
