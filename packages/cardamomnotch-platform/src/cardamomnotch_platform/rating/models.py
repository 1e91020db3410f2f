"""Classes of the rating service."""

from typing import Any

import attrs


@attrs.frozen(kw_only=True)
class RatingRequest:
    """An answer to be rated; ``request`` is the caller's JSON body."""

    request_id: str
    # As "model/version".
    version: str
    request_class: str
    request: Any
    answer: str
