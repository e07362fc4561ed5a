"""Check that the code uses the words of docs/GLOSSARY.md."""

from collections.abc import Iterator
from pathlib import Path
import re
import tokenize

from tools.adapter_names import is_in_adapter

CHECKED_TOKENS: frozenset[int] = frozenset(
    (tokenize.NAME, tokenize.COMMENT, tokenize.STRING)
)
TABLE_ROW: re.Pattern[str] = re.compile(r'^\| ([^|]+) \| [^|]* \| ([^|]+) \|')


def find_forbidden_words(glossary: Path, source: Path) -> Iterator[str]:
    """Yield a line for each use of a word that the glossary forbids."""
    forbidden = read_forbidden_words(glossary.read_text())
    allowed = read_allowed(glossary.read_text(), 'phrases')
    names = read_allowed(glossary.read_text(), 'names')
    for path in sorted(source.rglob('*.py')):
        if is_in_adapter(path, source):
            continue
        with path.open('rb') as file:
            tokens = list(tokenize.tokenize(file.readline))
        for token in tokens:
            if token.type not in CHECKED_TOKENS or token.string in names:
                continue
            for word, right in find_uses(token.string, forbidden, allowed):
                yield (
                    f'{path.name}:{token.start[0]}: {word!r} is forbidden; '
                    f'use {right!r} (docs/GLOSSARY.md)'
                )


def read_forbidden_words(text: str) -> dict[str, str]:
    """Return each forbidden word with the one to use instead."""
    words = dict[str, str]()
    for line in text.splitlines():
        row = TABLE_ROW.match(line)
        if row is None or row[1].strip() in ('word', '---'):
            continue
        for word in row[2].split(','):
            if word.strip() not in ('', '-'):
                words[word.strip().lower()] = row[1].strip()
    return words


def read_allowed(text: str, what: str) -> list[str]:
    """Return the phrases or names in which a forbidden word may stand.

    A phrase may be part of a comment; a name is a whole identifier.
    """
    match = re.search(rf'^Allowed {what}: (.*)\.$', text, re.MULTILINE)
    return re.findall(r'`([^`]+)`', match[1]) if match else []


def find_uses(
    text: str, forbidden: dict[str, str], allowed: list[str]
) -> Iterator[tuple[str, str]]:
    """Yield the forbidden words in a text, with the ones to use."""
    for phrase in allowed:
        text = text.replace(phrase, '')
    spaced = re.sub(r'([a-z])([A-Z])', r'\1 \2', text).lower()
    spaced = re.sub(r'[\W_]+', ' ', spaced)
    for word, right in forbidden.items():
        if re.search(rf'\b{re.escape(word)}s?\b', spaced):
            yield word, right
