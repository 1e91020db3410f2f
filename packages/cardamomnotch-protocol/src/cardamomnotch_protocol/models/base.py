"""Base of the messages, and what several of them carry."""

from collections.abc import Callable, Mapping
from typing import Any, ClassVar, TypeVar

import attrs

_MessageClass = TypeVar("_MessageClass", bound=type)
MESSAGE_CLASSES: dict[str, type["Message"]] = {}


@attrs.frozen(kw_only=True)
class Message:
    """Base of all messages.

    ``unknown_fields`` keeps what a newer sender added, so that a message that
    is passed on loses nothing.
    """

    message_type: ClassVar[str] = ""

    unknown_fields: Mapping[str, Any] = attrs.field(factory=dict, eq=False, repr=False)


def message(name: str) -> Callable[[_MessageClass], _MessageClass]:
    """Return a decorator that registers a message class under ``name``."""

    def register(cls: _MessageClass) -> _MessageClass:
        cls.message_type = name
        MESSAGE_CLASSES[name] = cls
        return cls

    return register


@attrs.frozen(kw_only=True)
class Load:
    """What an upstream is doing, counted by its sidecar."""

    # Attempts in flight, and how many the sidecar admits now.
    in_flight: int = 0
    limit: int = 0
    tokens_in_flight: int = 0
    # Requests that wait inside the engine, by its own lagging report.
    waiting: int = 0
    first_token_ms: float = 0.0


@attrs.frozen(kw_only=True)
class Usage:
    """What an attempt consumed, as the upstream counts it."""

    prompt_tokens: int = 0
    completion_tokens: int = 0


@attrs.frozen(kw_only=True)
class RatingTotals:
    """Sums of ratings of a version's answers for one request class."""

    version: str
    request_class: str = ""
    ratings: int = 0
    score_sum: float = 0.0
    # Ratings under the class's bound.
    bad: int = 0


@attrs.frozen(kw_only=True)
class EnginePlacement:
    """The versions that one engine is to load.

    ``serial`` rises with each placement, ``fencing`` with each planner.
    """

    serial: int
    fencing: int
    versions: tuple[str, ...] = ()
