"""Data types of the rating service."""

from typing import Any

import attrs


@attrs.frozen(kw_only=True)
class RatingRequest:
    """An answer to rate; ``request`` is the caller's decoded JSON body."""

    request_id: str
    # Version that gave the answer, as "model/version".
    version: str
    request_class: str
    request: Any
    answer: str
