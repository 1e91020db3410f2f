"""How often prompt prefixes are sent, and to which upstreams."""

from collections import OrderedDict
from collections.abc import Sequence

import attrs

from .const import (
    MAX_PREFIX_UPSTREAMS,
    MAX_PREFIXES,
    SHARE_PRIOR_REQUESTS,
    USE_HALF_LIFE_S,
)
from .models import Prefixes


@attrs.define
class _DecayingCount:
    """A number of events, of which old ones count less."""

    value: float = 0.0
    updated_at_s: float = 0.0

    def add(self, now_s: float) -> None:
        self.value = self.at(now_s) + 1.0
        self.updated_at_s = now_s

    def at(self, now_s: float) -> float:
        age_s = max(0.0, now_s - self.updated_at_s)
        return self.value * 0.5 ** (age_s / USE_HALF_LIFE_S)


@attrs.define
class _Prefix:
    """A prompt prefix: the last upstreams that it was sent to, and its requests."""

    # Not a deque, which takes a block of 64 items.
    upstreams: list[str] = attrs.field(factory=list)
    requests: _DecayingCount = attrs.field(factory=_DecayingCount)

    def add_upstream(self, upstream_id: str) -> None:
        if upstream_id in self.upstreams:
            return
        if len(self.upstreams) >= MAX_PREFIX_UPSTREAMS:
            del self.upstreams[0]
        self.upstreams.append(upstream_id)


class PrefixPopularity:
    """Counts the requests of each prompt prefix, by model.

    At most ``MAX_PREFIXES`` prefixes are stored, the last ones sent.
    """

    def __init__(self) -> None:
        self._prefixes: OrderedDict[tuple[str, int], _Prefix] = OrderedDict()
        # Requests with a shared prefix, by service and model.
        self._requests: dict[tuple[str, str], _DecayingCount] = {}

    def record_sent(
        self,
        upstream_id: str,
        service: str,
        model: str,
        prefixes: Prefixes,
        now_s: float,
    ) -> None:
        """Count a request with the shared prefixes ``prefixes``."""
        if not prefixes:
            return
        self._requests.setdefault((service, model), _DecayingCount()).add(now_s)
        for key, _ in prefixes:
            prefix = self._prefixes.setdefault((model, key), _Prefix())
            self._prefixes.move_to_end((model, key))
            prefix.requests.add(now_s)
            prefix.add_upstream(upstream_id)
        while len(self._prefixes) > MAX_PREFIXES:
            self._prefixes.popitem(last=False)

    def upstreams(self, model: str, key: int) -> Sequence[str]:
        """Return the ids of the last upstreams that a prefix was sent to."""
        prefix = self._prefixes.get((model, key))
        return prefix.upstreams if prefix else ()

    def share(self, service: str, model: str, key: int, now_s: float) -> float:
        """Return a prefix's share of the requests with a shared prefix, 0 to 1."""
        prefix = self._prefixes.get((model, key))
        requests = self._requests.get((service, model))
        if prefix is None or requests is None:
            return 0.0
        total = requests.at(now_s) + SHARE_PRIOR_REQUESTS
        return min(1.0, prefix.requests.at(now_s) / total)
