"""Data types of the relay: routes, services, upstreams and requests."""

from collections.abc import Mapping, Sequence
from enum import StrEnum

import attrs
import xxhash

from .const import MAX_KEY_CHARS


class RepeatRule(StrEnum):
    """Whether a request of a route may be sent to more than one upstream."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAM = "stream"
    RESUMABLE_STREAM = "resumable_stream"

    @property
    def is_repeatable(self) -> bool:
        """Return whether the request may run more than once."""
        return self in (RepeatRule.IDEMPOTENT, RepeatRule.RESUMABLE_STREAM)

    @property
    def is_stream(self) -> bool:
        """Return whether the answer is a stream of server-sent events."""
        return self in (RepeatRule.STREAM, RepeatRule.RESUMABLE_STREAM)


@attrs.frozen(kw_only=True)
class Share:
    """Weight with which a route's requests are sent to ``service``."""

    service: str
    weight: float


@attrs.frozen(kw_only=True)
class Route:
    """Route of the requests for one host and path prefix."""

    name: str
    host: str
    path_prefix: str
    repeat: RepeatRule
    shares: tuple[Share, ...]
    timeout_s: float
    target_latency_s: float
    # Maximum number of upstreams that one request is sent to.
    max_attempts: int = 1
    # 0 is the highest priority.
    priority: int = 5
    is_public: bool = False
    # Models that the relay chooses from, smallest first; empty if the caller
    # names the model.
    models: tuple[str, ...] = ()
    # Longest pause between two events of a stream that is still on time; 0 if the
    # operators state none.
    max_pause_s: float = 0.0


@attrs.frozen(kw_only=True)
class Service:
    """A group of upstreams that serves the same routes."""

    name: str
    # Requests per second that one cold upstream tolerates; 0 for no limit.
    cold_rate: float = 0.0
    # Tokens that an upstream can hold for running requests and cached prompts; 0 if
    # not stated.
    token_capacity: int = 0
    # Tokens in one event of a stream; 0 if not stated.
    tokens_per_event: int = 0
    # Price of 1,000 generated tokens by model; a prompt token counts a quarter.
    model_costs: Mapping[str, float] = attrs.field(factory=dict)


@attrs.frozen(kw_only=True)
class Workspace:
    """A workspace, by the name that is sent to upstreams."""

    name: str
    # Overrides the route's priority if set.
    priority: int | None = None


@attrs.frozen(kw_only=True)
class CallerLimits:
    """Limits on the size and timing of callers' requests; times in seconds."""

    max_body_bytes: int = 4_194_304
    # Time limit for a request's head, counted from its first byte.
    header_timeout_s: float = 10.0
    # Time limit between two parts of a body, and before a connection's first
    # byte.
    idle_timeout_s: float = 75.0


@attrs.frozen(kw_only=True)
class RouteDocument:
    """One version of the routes document that operators write to the store."""

    version: int
    routes: tuple[Route, ...]
    services: dict[str, Service]
    # Workspaces by API key; None if callers need no key.
    workspaces: dict[str, Workspace] | None
    limits: CallerLimits = attrs.field(factory=CallerLimits)


@attrs.frozen(kw_only=True)
class Upstream:
    """Registration of one running upstream process."""

    upstream_id: str
    service: str
    address: str
    zone: str
    version: str
    # Number of requests that the upstream can process at the same time.
    slots: int
    is_draining: bool = False
    # Time for which the upstream stays cold after its registration, in
    # seconds.
    cold_left_s: float = 0.0
    # Unix time of the process start in milliseconds; 0 if not registered.
    started_ms: int = 0

    @property
    def process(self) -> str:
        """Return a name of this run of the upstream."""
        return f"{self.upstream_id}@{self.started_ms}"


@attrs.frozen(kw_only=True)
class UpstreamHints:
    """What an upstream states about itself in a response."""

    # Requests per second that it takes from all entries together; None if it
    # names no limit.
    rate_limit: float | None = None


@attrs.frozen(kw_only=True)
class RolloutOrder:
    """Operators' order to move a service to the version ``target``."""

    service: str
    target: str
    duration_s: float


@attrs.frozen(kw_only=True)
class PromptPart:
    """A part of a prompt that may also occur in other requests' prompts."""

    part_id: str
    tokens: int


# Prefix of the suspects that are parts of a prompt; a request's fingerprint has
# none.
_PART_SUSPECT_PREFIX = "part:"
# Prefix of the digests of names that are too long to be keys.
_DIGEST_PREFIX = "xxh3:"


def bounded_key(name: str) -> str:
    """Return a caller's name for something, or its digest if it is long or not text.

    Tables whose entries are counted have keys of a limited size so, and messages to
    other entries have keys that can be encoded.
    """
    if len(name) <= MAX_KEY_CHARS and _is_text(name):
        return name
    data = name.encode("utf-8", "surrogateescape")
    return f"{_DIGEST_PREFIX}{xxhash.xxh3_128_hexdigest(data)}"


def _is_text(name: str) -> bool:
    """Return whether a name consists of characters, not of undecodable bytes."""
    return name.isascii() or not any("\ud800" <= char <= "\udfff" for char in name)


def is_prompt_part(suspect: str) -> bool:
    """Return whether a suspect is a part of prompts, not a request."""
    return suspect.startswith(_PART_SUSPECT_PREFIX)


def list_suspects(fingerprint: str, part_ids: Sequence[str]) -> frozenset[str]:
    """Return a request's fingerprint, and the suspects that are shared parts."""
    parts = (f"{_PART_SUSPECT_PREFIX}{part_id}" for part_id in part_ids[:-1])
    return frozenset((fingerprint, *parts))


@attrs.frozen(kw_only=True)
class RequestFacts:
    """Properties of a request that decide which upstream it is sent to."""

    request_id: str
    # Hash of path, caller and body; equal for equal requests.
    fingerprint: str
    # The prompt's parts, or the first ``MAX_PROMPT_PARTS`` of them.
    prompt: tuple[PromptPart, ...] = ()
    prompt_tokens: int = 0
    max_output_tokens: int = 0
    # The caller's guess of the number of output tokens, often far off; 0 if none.
    expected_output_tokens: int = 0
    session: str = ""
    # True if the relay chooses the model.
    chooses_model: bool = False
    # The possible causes of a crash: the request, and the parts of its prompt. The
    # last part belongs to the request or its session.
    suspects: frozenset[str] = attrs.field(
        default=attrs.Factory(
            lambda self: list_suspects(
                self.fingerprint, [part.part_id for part in self.prompt]
            ),
            takes_self=True,
        )
    )

    @property
    def likely_output_tokens(self) -> int:
        """Return the guessed number of output tokens, or else the maximum."""
        return self.expected_output_tokens or self.max_output_tokens

    @property
    def prefix_key(self) -> str:
        """Return a key that is equal for requests with the same prompt prefix.

        The prefix is the prompt without its last part.
        """
        return ",".join(part.part_id for part in self.prompt[:-1])
