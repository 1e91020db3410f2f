"""What the operators' routes, the upstreams and a request are to the relay."""

from enum import StrEnum

import attrs


class RepeatRule(StrEnum):
    """How often a request of a route may run."""

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
        """Return whether the answer is a stream of events."""
        return self in (RepeatRule.STREAM, RepeatRule.RESUMABLE_STREAM)


@attrs.frozen(kw_only=True)
class Share:
    """Part of a route's requests that goes to ``service``."""

    service: str
    weight: float


@attrs.frozen(kw_only=True)
class Route:
    """Where the requests of one host and path prefix go."""

    name: str
    host: str
    path_prefix: str
    repeat: RepeatRule
    shares: tuple[Share, ...]
    timeout_s: float
    target_latency_s: float
    # Most upstreams that one request may be sent to.
    max_attempts: int = 1
    # 0 is the most urgent.
    priority: int = 5
    is_public: bool = False
    # Models that the router may choose from, smallest first; empty: the
    # caller names the model.
    models: tuple[str, ...] = ()


@attrs.frozen(kw_only=True)
class Service:
    """A group of upstreams that serve the same routes."""

    name: str
    # Requests a second that one cold upstream tolerates; 0: it has no limit.
    cold_rate: float = 0.0


@attrs.frozen(kw_only=True)
class Workspace:
    """A customer, by the name that upstreams are told."""

    name: str
    # Goes before the route's priority if set.
    priority: int | None = None


@attrs.frozen(kw_only=True)
class CallerLimits:
    """What a caller may send, and how long it may take; times in seconds."""

    max_body_bytes: int = 4_194_304
    # Time for a request's head, from its first byte on.
    header_timeout_s: float = 10.0
    # Silence between two parts of a body, or before a connection's first byte.
    idle_timeout_s: float = 75.0


@attrs.frozen(kw_only=True)
class RouteDocument:
    """One version of what the operators want."""

    version: int
    routes: tuple[Route, ...]
    services: dict[str, Service]
    # By API key; None if callers need no key.
    workspaces: dict[str, Workspace] | None
    limits: CallerLimits = attrs.field(factory=CallerLimits)


@attrs.frozen(kw_only=True)
class Upstream:
    """One start of one upstream, as it has registered itself."""

    upstream_id: str
    service: str
    address: str
    zone: str
    version: str
    slots: int
    is_draining: bool = False
    # Time that it stays cold after its registration, in seconds.
    cold_left_s: float = 0.0
    # Unix time of its start in milliseconds; 0 if it does not say.
    started_ms: int = 0


@attrs.frozen(kw_only=True)
class RolloutOrder:
    """The operators' wish to move a service to another version."""

    service: str
    target: str
    duration_s: float


@attrs.frozen(kw_only=True)
class PromptPart:
    """A piece of a prompt that requests may share."""

    part_id: str
    tokens: int


@attrs.frozen(kw_only=True)
class RequestFacts:
    """What decides where a request goes."""

    request_id: str
    # Identifies equal requests: path, caller and body.
    fingerprint: str
    prompt: tuple[PromptPart, ...] = ()
    prompt_tokens: int = 0
    max_output_tokens: int = 0
    session: str = ""
    # True if the router names the model.
    chooses_model: bool = False

    @property
    def prefix_key(self) -> str:
        """Return what requests that share their prompt's beginning share."""
        return ",".join(part.part_id for part in self.prompt[:-1])
