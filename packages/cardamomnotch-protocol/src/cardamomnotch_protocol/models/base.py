"""Base class of the messages, and data that several of them carry."""

from collections.abc import Callable, Mapping
from typing import Any, ClassVar, TypeVar

import attrs

_MessageClass = TypeVar("_MessageClass", bound=type)
MESSAGE_CLASSES: dict[str, type["Message"]] = {}


@attrs.frozen(kw_only=True)
class Message:
    """Base class of all messages.

    ``unknown_fields`` keeps the fields that a newer sender added, so that a
    message that is forwarded keeps them.
    """

    message_type: ClassVar[str] = ""

    unknown_fields: Mapping[str, Any] = attrs.field(factory=dict, eq=False, repr=False)


def message(message_type: str) -> Callable[[_MessageClass], _MessageClass]:
    """Return a decorator that registers a class for ``message_type``."""

    def register(cls: _MessageClass) -> _MessageClass:
        cls.message_type = message_type
        MESSAGE_CLASSES[message_type] = cls
        return cls

    return register


@attrs.frozen(kw_only=True)
class Load:
    """Current load of an upstream, as counted by its sidecar."""

    # Attempts in flight, and the number that the sidecar admits at a time.
    in_flight: int = 0
    limit: int = 0
    tokens_in_flight: int = 0
    # Requests queued inside the engine, from its own report, which lags.
    waiting: int = 0
    first_token_ms: float = 0.0


@attrs.frozen(kw_only=True)
class Usage:
    """Tokens that an attempt used, as counted by the upstream."""

    prompt_tokens: int = 0
    completion_tokens: int = 0


@attrs.frozen(kw_only=True)
class RatingTotals:
    """Sums of the ratings of a version's answers to one request class."""

    version: str
    request_class: str = ""
    ratings: int = 0
    score_sum: float = 0.0
    # Number of ratings below the request class's bound for bad answers.
    bad: int = 0


@attrs.frozen(kw_only=True)
class EnginePlacement:
    """The versions that one engine should load.

    ``serial`` increases with each placement, and ``fencing``, the fencing
    token, with each new planner.
    """

    serial: int
    fencing: int
    versions: tuple[str, ...] = ()
