"""Pack what peers send each other, so that slow links carry it soon.

A message that takes longer than the links' heartbeats allow would end its
connection again and again.
"""

from typing import Final
from zlib import compress
from zlib import decompressobj
from zlib import error as zlib_error

from primroseledge.errors import DocumentError

MAX_DECOMPRESSED_BYTES: Final = 4 << 20
"""The most that a packed value may hold; guards against bad input."""


def compress_data(data: bytes) -> bytes:
    """Return data in packed form."""
    return compress(data)


def decompress_data(compressed: bytes) -> bytes:
    """Return the data of a packed form; raises DocumentError."""
    unpacker = decompressobj()
    try:
        data = unpacker.decompress(compressed, MAX_DECOMPRESSED_BYTES)
    except zlib_error as error:
        raise DocumentError(f'packed value: {error}') from error
    if not unpacker.eof:
        raise DocumentError('packed value: too long or cut short')
    return data
