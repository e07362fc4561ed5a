"""Keys of teams and operators: made, parsed and compared.

A key's text is ``KEY_ID.SECRET``. Only a salted hash of the secret is
stored. The secret has 256 random bits, so it cannot be guessed, and a
fast hash protects it as well as a slow one, which would let callers
use up the processor with wrong keys.
"""

from dataclasses import dataclass
from dataclasses import field
from hashlib import blake2b
from hmac import compare_digest
import re
from secrets import token_bytes
from secrets import token_hex
from typing import Final

from primroseledge.ids import KeyId
from primroseledge.storage.documents import KeyRecord

KEY_ID_BYTES: Final = 6
SECRET_BYTES: Final = 32
SALT_BYTES: Final = 16
DIGEST_BYTES: Final = 32
MAX_KEY_CHARACTERS: Final = 200
BEARER: Final = 'bearer'
KEY_PATTERN: Final = re.compile(
    rf'\b([0-9a-f]{{{2 * KEY_ID_BYTES}}})\.[0-9a-f]{{{2 * SECRET_BYTES}}}\b'
)


@dataclass(frozen=True, slots=True)
class PresentedKey:
    """A key as a caller presents it; the secret is not in its repr."""

    id: KeyId
    secret: str = field(repr=False)


def generate_key() -> tuple[str, KeyRecord]:
    """Make a key; return its text, shown once, and its record.

    The system's random source is used, not a seeded one: a key that
    can be made again is not a secret.
    """
    key_id = token_hex(KEY_ID_BYTES)
    secret = token_hex(SECRET_BYTES)
    salt = token_bytes(SALT_BYTES)
    record = KeyRecord(
        id=key_id, salt=salt.hex(), digest=hash_secret(salt, secret).hex()
    )
    return f'{key_id}.{secret}', record


def parse_key(text: str) -> PresentedKey | None:
    """Split a key's text; return None when it has no such form."""
    if len(text) > MAX_KEY_CHARACTERS:
        return None
    key_id, dot, secret = text.strip().partition('.')
    if not (key_id and dot and secret):
        return None
    return PresentedKey(KeyId(key_id), secret)


def is_key_valid(record: KeyRecord, secret: str) -> bool:
    """Compare a secret with a record in constant time.

    A record whose salt or digest is not hexadecimal matches nothing.
    """
    try:
        salt = bytes.fromhex(record.salt)
        digest = bytes.fromhex(record.digest)
    except ValueError:
        return False
    if len(salt) > SALT_BYTES:
        return False
    return compare_digest(hash_secret(salt, secret), digest)


def find_valid_key(
    records: tuple[KeyRecord, ...], text: str
) -> KeyRecord | None:
    """Return the record that a key's text matches, or None."""
    presented = parse_key(text)
    if presented is None:
        return None
    for record in records:
        if record.id == presented.id:
            return record if is_key_valid(record, presented.secret) else None
    return None


def is_operator(records: tuple[KeyRecord, ...], authorization: str) -> bool:
    """Say whether an ``Authorization`` header holds an operator's key."""
    scheme, _, text = authorization.strip().partition(' ')
    if scheme.lower() != BEARER:
        return False
    return find_valid_key(records, text.strip()) is not None


def redact_keys(text: str) -> str:
    """Replace the secret of each key in a text that leaves the process."""
    return KEY_PATTERN.sub(r'\1.<hidden>', text)


def hash_secret(salt: bytes, secret: str) -> bytes:
    """Return the salted hash of a secret."""
    return blake2b(
        secret.encode('utf-8', 'surrogateescape'),
        digest_size=DIGEST_BYTES,
        salt=salt,
        person=b'primroseledge',
    ).digest()
