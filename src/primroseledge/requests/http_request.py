"""A caller's HTTP request, checked and taken apart."""

from dataclasses import dataclass
from itertools import count
from re import compile as compile_pattern
from typing import Any
from typing import Final
from urllib.parse import unquote
from uuid import UUID
from uuid import uuid4

from primroseledge.errors import PrimroseledgeError
from primroseledge.ids import RequestId
from primroseledge.ids import ServiceId
from primroseledge.requests.outcomes import Reason
from primroseledge.requests.request_check import RequestHead
from primroseledge.requests.request_memory import OWN_ID_PREFIX
from primroseledge.storage.documents import NAME_PATTERN

Environ = dict[str, Any]

IDEMPOTENT_METHODS: Final = frozenset(
    {'GET', 'HEAD', 'PUT', 'DELETE', 'OPTIONS'}
)
METHODS: Final = IDEMPOTENT_METHODS | {'POST', 'PATCH'}
OWN_ID_START: Final = f'{OWN_ID_PREFIX}{uuid4()}-'
"""Unique to this run; a random id for each request costs more."""

OWN_NUMBERS: Final = count(1)
SERVICE_PREFIX: Final = '/services/'
SERVICE_PATTERN: Final = compile_pattern(NAME_PATTERN)
MAX_REQUEST_ID_CHARACTERS: Final = 100
URGENT_PRIORITIES: Final = frozenset({'u=0', 'u=1'})

DROPPED_HEADERS: Final = frozenset(
    {
        'HTTP_AUTHORIZATION',
        'HTTP_CONNECTION',
        'HTTP_EXPECT',
        'HTTP_HOST',
        'HTTP_IDEMPOTENCY_KEY',
        'HTTP_KEEP_ALIVE',
        'HTTP_PROXY_AUTHORIZATION',
        'HTTP_PROXY_CONNECTION',
        'HTTP_REQUEST_TIMEOUT',
        'HTTP_TE',
        'HTTP_TRAILER',
        'HTTP_TRANSFER_ENCODING',
        'HTTP_UPGRADE',
        'HTTP_X_ATTEMPT_ID',
        'HTTP_X_REQUEST_ID',
    }
)


class BadRequest(PrimroseledgeError):
    """A request that no upstream is to see; nothing of it has run."""

    def __init__(self, reason: Reason, text: str) -> None:
        super().__init__(text)
        self.reason = reason


@dataclass(frozen=True, slots=True)
class RequestLimits:
    """Limits of a request, from the settings."""

    max_body_bytes: int
    request_timeout_s: float
    max_request_timeout_s: float


def parse_head(
    environ: Environ, handle: int, limits: RequestLimits
) -> RequestHead:
    """Return a request's head; raise BadRequest."""
    method = str(environ['REQUEST_METHOD'])
    if method not in METHODS:
        raise BadRequest(Reason.BAD_REQUEST, f'method {method} is not served')
    path = str(environ.get('PATH_INFO', ''))
    if not path.startswith(SERVICE_PREFIX):
        raise BadRequest(
            Reason.NO_SERVICE, f'the path must begin with {SERVICE_PREFIX}'
        )
    service = path.removeprefix(SERVICE_PREFIX).partition('/')[0]
    if not SERVICE_PATTERN.match(service):
        raise BadRequest(Reason.NO_SERVICE, 'malformed id of a service')
    request_id, issued_at = parse_request_id(
        environ.get('HTTP_IDEMPOTENCY_KEY')
    )
    return RequestHead(
        handle=handle,
        service=ServiceId(service),
        key=parse_key_header(environ.get('HTTP_AUTHORIZATION')),
        request_id=request_id,
        is_idempotent=method in IDEMPOTENT_METHODS,
        is_urgent=is_urgent(str(environ.get('HTTP_PRIORITY', ''))),
        timeout_s=parse_timeout(environ.get('HTTP_REQUEST_TIMEOUT'), limits),
        issued_at=issued_at,
    )


def check_target(environ: Environ) -> None:
    """Raise BadRequest for a target that upstreams may read otherwise."""
    target = str(environ.get('REQUEST_URI') or environ.get('PATH_INFO', ''))
    path = target.partition('?')[0]
    if not target.isascii() or not target.isprintable():
        raise BadRequest(Reason.BAD_REQUEST, 'the target must be ASCII')
    decoded = unquote(path).replace('\\', '/')
    if not {'.', '..'}.isdisjoint(decoded.split('/')):
        raise BadRequest(Reason.BAD_REQUEST, 'the path has dot segments')
    is_old = environ.get('SERVER_PROTOCOL') == 'HTTP/1.0'
    if is_old and 'HTTP_TRANSFER_ENCODING' in environ:
        raise BadRequest(
            Reason.BAD_REQUEST, 'Transfer-Encoding needs HTTP/1.1'
        )


def parse_key_header(value: str | None) -> str | None:
    """Return the key in an Authorization header, None without one."""
    if value is None:
        return None
    scheme, _, key = value.partition(' ')
    if scheme.lower() != 'bearer' or not key.strip():
        raise BadRequest(
            Reason.BAD_KEY, 'Authorization must be "Bearer KEY_ID.SECRET"'
        )
    return key.strip()


def parse_request_id(value: str | None) -> tuple[RequestId, float]:
    """Return the request's id and the time in it, 0 when it has none.

    A caller that sends no id gets a new one, which cannot come again.
    """
    if value is None:
        return RequestId(f'{OWN_ID_START}{next(OWN_NUMBERS)}'), 0.0
    text = value.strip().strip('"')
    if text.startswith(OWN_ID_PREFIX):
        raise BadRequest(
            Reason.BAD_REQUEST,
            f'Idempotency-Key must not begin with {OWN_ID_PREFIX}',
        )
    is_plain = text.isascii() and text.isprintable()
    if not is_plain or not 0 < len(text) <= MAX_REQUEST_ID_CHARACTERS:
        raise BadRequest(
            Reason.BAD_REQUEST,
            f'Idempotency-Key must have 1 to {MAX_REQUEST_ID_CHARACTERS}'
            ' ASCII characters',
        )
    return RequestId(text), issue_time(text)


def issue_time(text: str) -> float:
    """Return the time in a version 7 UUID, 0 for any other id."""
    try:
        value = UUID(text)
    except ValueError:
        return 0.0
    return (value.int >> 80) / 1000 if value.version == 7 else 0.0


def is_urgent(priority: str) -> bool:
    """Tell whether an RFC 9218 Priority header asks for urgency."""
    parameters = {part.strip() for part in priority.split(',')}
    return bool(parameters & URGENT_PRIORITIES)


def parse_timeout(value: str | None, limits: RequestLimits) -> float:
    """Return how long the caller waits, in seconds."""
    if value is None:
        return limits.request_timeout_s
    try:
        seconds = float(value)
    except ValueError:
        seconds = 0.0
    if not 0.0 < seconds <= limits.max_request_timeout_s:
        raise BadRequest(
            Reason.BAD_REQUEST,
            f'Request-Timeout {value!r} is not in 0 to'
            f' {limits.max_request_timeout_s} s',
        )
    return seconds


def read_body(environ: Environ, limits: RequestLimits) -> bytes:
    """Read a request's whole body; raise BadRequest."""
    length_text = environ.get('CONTENT_LENGTH') or ''
    is_chunked = 'HTTP_TRANSFER_ENCODING' in environ
    if is_chunked and length_text:
        raise BadRequest(
            Reason.BAD_REQUEST, 'Content-Length with Transfer-Encoding'
        )
    if not is_chunked and not length_text:
        return b''
    if not is_chunked and int(length_text) > limits.max_body_bytes:
        raise too_large(limits)
    try:
        body = environ['wsgi.input'].read(limits.max_body_bytes + 1)
    except (OSError, ValueError) as error:
        raise BadRequest(
            Reason.BAD_REQUEST, f'the body cannot be read: {error}'
        ) from error
    if len(body) > limits.max_body_bytes:
        raise too_large(limits)
    if not is_chunked and len(body) != int(length_text):
        raise BadRequest(Reason.BAD_REQUEST, 'the body ended early')
    return bytes(body)


def too_large(limits: RequestLimits) -> BadRequest:
    """Return the error for a body over the limit."""
    return BadRequest(
        Reason.TOO_LARGE, f'the body exceeds {limits.max_body_bytes} bytes'
    )


def filter_headers(environ: Environ) -> dict[str, str]:
    """Return the headers that go on to an upstream.

    The caller's key and the headers that concern one hop stay here.
    """
    named = {
        'HTTP_' + name.strip().upper().replace('-', '_')
        for name in str(environ.get('HTTP_CONNECTION', '')).split(',')
    }
    headers = {
        name.removeprefix('HTTP_').replace('_', '-').title(): str(value)
        for name, value in environ.items()
        if name.startswith('HTTP_')
        and name not in DROPPED_HEADERS
        and name not in named
    }
    if environ.get('CONTENT_TYPE'):
        headers['Content-Type'] = str(environ['CONTENT_TYPE'])
    return headers
