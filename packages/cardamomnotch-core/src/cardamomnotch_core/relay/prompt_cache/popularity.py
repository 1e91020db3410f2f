"""How often prompt prefixes are sent, and to which upstreams."""

from collections import OrderedDict, deque
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

    upstreams: deque[str] = attrs.field(
        factory=lambda: deque(maxlen=MAX_PREFIX_UPSTREAMS)
    )
    requests: _DecayingCount = attrs.field(factory=_DecayingCount)


class PrefixPopularity:
    """Counts the requests of each prompt prefix, by model.

    At most ``MAX_PREFIXES`` prefixes are stored, the last ones sent.
    """

    def __init__(self) -> None:
        self._prefixes: OrderedDict[tuple[str, str], _Prefix] = OrderedDict()
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
            if upstream_id not in prefix.upstreams:
                prefix.upstreams.append(upstream_id)
        while len(self._prefixes) > MAX_PREFIXES:
            self._prefixes.popitem(last=False)

    def upstreams(self, model: str, key: str) -> Sequence[str]:
        """Return the ids of the last upstreams that a prefix was sent to."""
        prefix = self._prefixes.get((model, key))
        return prefix.upstreams if prefix else ()

    def share(self, service: str, model: str, key: str, now_s: float) -> float:
        """Return a prefix's share of the requests with a shared prefix, 0 to 1."""
        prefix = self._prefixes.get((model, key))
        requests = self._requests.get((service, model))
        if prefix is None or requests is None:
            return 0.0
        total = requests.at(now_s) + SHARE_PRIOR_REQUESTS
        return min(1.0, prefix.requests.at(now_s) / total)
