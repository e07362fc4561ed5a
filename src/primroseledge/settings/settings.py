"""The settings of one entry instance; ``settings_file`` reads them.

Settings say where this process is and how it is run. What the fleet
does is said by the documents in the store.
"""

from typing import Annotated
from urllib.parse import quote

from msgspec import Meta
from msgspec import Struct

from primroseledge.settings.settings_errors import HIDDEN
from primroseledge.storage.documents import KeyRecord
from primroseledge.storage.documents import NAME_PATTERN


class Section(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Base of the groups of settings."""


class Peer(Section, frozen=True):
    """Another entry instance to ask first."""

    id: Annotated[
        str, Meta(pattern=NAME_PATTERN, description='Its `entry_id`.')
    ]
    host: Annotated[str, Meta(description='Its `peer_host`, an IP number.')]
    port: Annotated[int, Meta(ge=1, le=65_535, description='Its `peer_port`.')]
    zone: Annotated[
        str, Meta(pattern=NAME_PATTERN, description='Its availability zone.')
    ]


class Trace(Section, frozen=True):
    """Where spans go; without path and endpoint none are kept."""

    path: Annotated[
        str, Meta(description='File to which spans go as JSON lines.')
    ] = ''
    endpoint: Annotated[
        str, Meta(description='URL to which spans are sent by POST.')
    ] = ''
    sample: Annotated[
        float,
        Meta(
            ge=0,
            le=1,
            description='Fraction of traces kept that start here.',
        ),
    ] = 1.0
    queue_spans: Annotated[
        int,
        Meta(
            ge=1,
            le=100_000,
            description='Finished spans that may wait for export; '
            'more are dropped and counted.',
        ),
    ] = 2048


class Maintenance(Section, frozen=True):
    """How waves judge reboots; a drain settles in 3 `freshness_s`."""

    window_s: Annotated[
        float,
        Meta(
            ge=0,
            le=31_536_000,
            description='An instance that booted within it is skipped.',
        ),
    ] = 28 * 86_400.0
    proof_s: Annotated[
        float,
        Meta(
            ge=0,
            le=86_400,
            description='How long an instance is up before it returns.',
        ),
    ] = 10.0
    reboot_timeout_s: Annotated[
        float,
        Meta(
            gt=0,
            le=86_400,
            description='After it, a reboot counts as failed.',
        ),
    ] = 600.0
    expected_failure_rate: Annotated[
        float,
        Meta(
            ge=0,
            le=1,
            description='Part of reboots that fail without halting a wave.',
        ),
    ] = 0.02


class Curve(Section, frozen=True):
    """Keys of the encrypted links between entry instances (Z85)."""

    public_key: Annotated[
        str,
        Meta(min_length=40, max_length=40, description='Own public key.'),
    ]
    secret_key: Annotated[
        str,
        Meta(min_length=40, max_length=40, description='Own secret key.'),
    ]
    peer_keys: Annotated[
        dict[str, Annotated[str, Meta(min_length=40, max_length=40)]],
        Meta(description="Each peer's public key, by `entry_id`."),
    ]

    def __repr__(self) -> str:
        """Return a text without the secret key."""
        return f'Curve(public_key={self.public_key!r}, secret_key={HIDDEN})'


class Settings(Section, frozen=True):
    """All settings of one entry instance."""

    entry_id: Annotated[
        str,
        Meta(
            pattern=NAME_PATTERN,
            description='Id of this entry instance, unique in the fleet.',
        ),
    ]
    zone: Annotated[
        str,
        Meta(
            pattern=NAME_PATTERN,
            description='Availability zone of this entry instance.',
        ),
    ]
    http_host: Annotated[
        str,
        Meta(description='IP number on which callers are served.'),
    ]
    peer_host: Annotated[
        str,
        Meta(description='IP number on which other entry instances reach it.'),
    ]
    store_urls: Annotated[
        tuple[str, ...],
        Meta(
            min_length=1,
            description="URLs of the platform's key-value service.",
        ),
    ]
    http_port: Annotated[
        int,
        Meta(
            ge=0,
            le=65_535,
            description='Port for callers; 0 takes a free one.',
        ),
    ] = 8080
    peer_port: Annotated[
        int,
        Meta(
            ge=0,
            le=65_535,
            description='Port for entry instances; 0 takes a free one.',
        ),
    ] = 8081
    metrics_port: Annotated[
        int,
        Meta(
            ge=0,
            le=65_535,
            description='Port for metrics and health on `http_host`; '
            '0 takes a free one.',
        ),
    ] = 8082
    region: Annotated[
        str, Meta(description='Region of this entry instance, if any.')
    ] = ''
    store_credentials: Annotated[
        str,
        Meta(
            pattern='^$|^[^:]+:.+$',
            description='`USER:PASSWORD` for the key-value service.',
        ),
    ] = ''
    task_urls: Annotated[
        tuple[str, ...],
        Meta(description="URLs of the platform's task service."),
    ] = ()
    list_urls: Annotated[
        tuple[str, ...],
        Meta(description="URLs of the platform's list of instances."),
    ] = ()
    peers: Annotated[
        tuple[Peer, ...],
        Meta(description='Entry instances to ask first; may name itself.'),
    ] = ()
    server_threads: Annotated[
        int,
        Meta(
            ge=1,
            le=2000,
            description='Threads that read requests and carry attempts.',
        ),
    ] = 64
    max_body_bytes: Annotated[
        int,
        Meta(
            ge=0,
            le=1_000_000_000,
            description='Longest body of a request; a longer one gets 413.',
        ),
    ] = 1_000_000
    max_header_bytes: Annotated[
        int,
        Meta(
            ge=1_024,
            le=1_000_000,
            description='Longest headers of a request; longer ones get 4xx.',
        ),
    ] = 16_384
    request_timeout_s: Annotated[
        float,
        Meta(
            gt=0,
            le=86_400,
            description='Deadline of a request that names none.',
        ),
    ] = 30.0
    max_request_timeout_s: Annotated[
        float,
        Meta(
            gt=0,
            le=86_400,
            description='Longest deadline that a request may name.',
        ),
    ] = 300.0
    freshness_s: Annotated[
        float,
        Meta(
            ge=0.2,
            le=60,
            description='How long evidence for the configuration stands.',
        ),
    ] = 2.0
    heartbeat_s: Annotated[
        float,
        Meta(
            ge=0.01,
            le=10,
            description='Interval of heartbeats to each peer.',
        ),
    ] = 0.25
    clock_margin: Annotated[
        float,
        Meta(
            ge=0,
            le=0.2,
            description='Fraction by which clock rates may differ.',
        ),
    ] = 0.01
    id_window_s: Annotated[
        float,
        Meta(
            ge=1,
            le=86_400,
            description='How long ids of requests are remembered.',
        ),
    ] = 600.0
    id_clock_skew_s: Annotated[
        float,
        Meta(
            ge=0,
            le=600,
            description="How far a caller's clock may be ahead.",
        ),
    ] = 2.0
    retry_budget: Annotated[
        float,
        Meta(
            ge=0,
            le=1,
            description='Retries as a fraction of first attempts.',
        ),
    ] = 0.1
    store_timeout_s: Annotated[
        float,
        Meta(
            gt=0,
            le=60,
            description='Longest wait for an answer of the platform.',
        ),
    ] = 2.0
    graceful_timeout_s: Annotated[
        float,
        Meta(
            ge=0,
            le=86_400,
            description='Longest wait for running requests at a stop.',
        ),
    ] = 30.0
    trace: Annotated[Trace, Meta(description='Where spans go; see below.')] = (
        Trace()
    )
    maintenance: Annotated[
        Maintenance, Meta(description='Maintenance waves; see below.')
    ] = Maintenance()
    curve: Annotated[
        Curve | None,
        Meta(description='Encryption between entry instances; see below.'),
    ] = None
    operator_keys: Annotated[
        tuple[KeyRecord, ...],
        Meta(
            description='Salted hashes of operator keys, as '
            '`primroseledge key operator` prints them.'
        ),
    ] = ()

    def __repr__(self) -> str:
        """Return a text without credentials."""
        return f'Settings(entry_id={self.entry_id!r}, zone={self.zone!r})'

    @property
    def store_urls_with_credentials(self) -> tuple[str, ...]:
        """Return the store's URLs with the credentials as user info."""
        return add_credentials(self.store_urls, self.store_credentials)


SECTIONS = (Settings, Peer, Trace, Maintenance, Curve)


def add_credentials(
    urls: tuple[str, ...], credentials: str
) -> tuple[str, ...]:
    """Return URLs with ``user:password`` as their user info."""
    if not credentials:
        return urls
    user, _, password = credentials.partition(':')
    info = f'{quote(user, safe="")}:{quote(password, safe="")}@'
    return tuple(url.replace('://', f'://{info}', 1) for url in urls)
