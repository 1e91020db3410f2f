"""What a load consists of, and what its callers got."""

import attrs

from .const import DEFAULT_SECONDS, DEFAULT_SEED

_POSITIVE = attrs.validators.gt(0)
_NOT_NEGATIVE = attrs.validators.ge(0)
_SHARE = attrs.validators.and_(_NOT_NEGATIVE, attrs.validators.le(1))


@attrs.frozen(kw_only=True)
class ModelSpec:
    """A model that upstreams serve."""

    name: str
    # Time to read a token of a prompt, in milliseconds.
    prefill_ms_per_token: float = attrs.field(validator=_POSITIVE)
    # Share of the requests that it answers well.
    quality: float = attrs.field(default=1.0, validator=_SHARE)


@attrs.frozen(kw_only=True)
class RequestClass:
    """Requests of one kind."""

    name: str
    # Part of all requests, relative to the other classes'.
    weight: float = attrs.field(validator=_POSITIVE)
    # Time within which the first token is due, in seconds.
    target_s: float = attrs.field(validator=_POSITIVE)
    # Tokens of the prompt's own part, and of a part that requests on the same
    # subject have in common.
    own_tokens: int = attrs.field(default=0, validator=_NOT_NEGATIVE)
    shared_tokens: int = attrs.field(default=0, validator=_NOT_NEGATIVE)
    subjects: int = attrs.field(default=1, validator=_POSITIVE)
    # Weight of the n-th subject: n to the power of the negative skew; and the share of
    # the requests that are on the first subject in addition.
    skew: float = attrs.field(default=0.0, validator=_NOT_NEGATIVE)
    hot_share: float = attrs.field(default=0.0, validator=_SHARE)
    # Tokens of an answer, which take up memory.
    output_tokens: int = attrs.field(default=0, validator=_NOT_NEGATIVE)
    # Largest relative deviation of the own part's length.
    spread: float = attrs.field(default=0.0, validator=_SHARE)
    # Models to choose from, smallest first; empty for a plain service.
    models: tuple[str, ...] = ()
    # 0 is the most urgent.
    priority: int = attrs.field(default=5, validator=_NOT_NEGATIVE)


@attrs.frozen(kw_only=True)
class Loss:
    """Upstreams that accept no connections for a while."""

    at_s: float = attrs.field(default=0.0, validator=_NOT_NEGATIVE)
    for_s: float = attrs.field(default=float("inf"), validator=_POSITIVE)
    # Zone of the upstreams; empty for those that are named by number.
    zone: str = ""
    upstreams: tuple[int, ...] = ()
    # Zone of the entries that have lost their paths; empty for all.
    from_zone: str = ""

    def concerns(self, entry_zone: str, zone: str, upstream: int, now_s: float) -> bool:
        """Return whether an entry cannot reach an upstream now."""
        return (
            self.at_s <= now_s < self.at_s + self.for_s
            and self.from_zone in ("", entry_zone)
            and (zone == self.zone or upstream in self.upstreams)
        )


@attrs.frozen(kw_only=True)
class LoadCase:
    """A load, as a load file describes it.

    Zones are named ``zone-0`` and so on; entries and upstreams are spread over them
    in turn, and upstreams are numbered from 0.
    """

    entries: int = attrs.field(validator=_POSITIVE)
    upstreams: int = attrs.field(validator=_POSITIVE)
    requests_per_s: float = attrs.field(validator=_POSITIVE)
    classes: tuple[RequestClass, ...] = attrs.field(
        validator=attrs.validators.min_len(1)
    )
    models: tuple[ModelSpec, ...] = ()
    losses: tuple[Loss, ...] = ()
    zones: int = attrs.field(default=1, validator=_POSITIVE)
    # Memory of each upstream, in tokens; 0 if the service does not state it.
    upstream_tokens: int = attrs.field(default=0, validator=_NOT_NEGATIVE)
    seconds: float = attrs.field(default=DEFAULT_SECONDS, validator=_POSITIVE)
    seed: int = DEFAULT_SEED

    def __attrs_post_init__(self) -> None:
        """Check that all models are described."""
        known = {model.name for model in self.models}
        for request_class in self.classes:
            unknown = sorted(set(request_class.models) - known)
            if unknown:
                raise ValueError(
                    f"class {request_class.name}: unknown model {', '.join(unknown)}"
                )


@attrs.define(kw_only=True)
class Outcome:
    """What one caller got."""

    request_class: str
    zone: str
    arrived_at_s: float
    # Time that the caller waited for lost upstreams, in seconds.
    lost_s: float = 0.0
    # Time to the first token, in seconds; None if there was none.
    first_token_s: float | None = None
    is_in_time: bool = False
    # Whether the model that answered is large enough for the request.
    is_good: bool = False
