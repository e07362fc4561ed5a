"""Compress large values in messages between peers.

On a slow link an uncompressed configuration may take longer to send than
the heartbeat timeout allows, which would close the connection each time.
"""

from typing import Final
from zlib import compress
from zlib import decompressobj
from zlib import error as zlib_error

from primroseledge.errors import DocumentError

MAX_DECOMPRESSED_BYTES: Final = 4 << 20
"""Limit on decompressed data, so that bad input cannot exhaust memory."""


def compress_data(data: bytes) -> bytes:
    """Return the data compressed with zlib."""
    return compress(data)


def decompress_data(compressed: bytes) -> bytes:
    """Return the original of data compressed by ``compress_data``.

    Raises DocumentError if the data is malformed or truncated, or if the
    original is longer than ``MAX_DECOMPRESSED_BYTES``.
    """
    decompressor = decompressobj()
    try:
        data = decompressor.decompress(compressed, MAX_DECOMPRESSED_BYTES)
    except zlib_error as error:
        raise DocumentError(
            f'compressed value is malformed: {error}'
        ) from error
    if not decompressor.eof:
        raise DocumentError('compressed value is too long or truncated')
    return data
