"""Where and when requests that may crash their upstream run."""

from collections.abc import Hashable, Sequence

from cardamomnotch_protocol.result_codes import ResultCode

from ..exceptions import RefusalError
from ..fleet import UpstreamState
from ..models import RequestFacts
from .isolation import Isolation, RunIsolation
from .quarantine import Decision, Quarantine

# Retry-After of a request that has to wait for an upstream, in seconds.
_RETRY_AFTER_S = 1.0


class SuspectRuns:
    """Applies the isolation of suspected requests to an entry's requests."""

    def __init__(self, quarantine: Quarantine, isolation: RunIsolation) -> None:
        self._quarantine = quarantine
        self._isolation = isolation

    def usable(
        self,
        available: Sequence[UpstreamState],
        facts: RequestFacts,
        now_s: float,
        *,
        is_resumed: bool = False,
    ) -> Sequence[UpstreamState]:
        """Leave out upstreams at which suspected requests must not meet.

        ``is_resumed`` tells that the caller has a part of the answer. Raises
        RefusalError if the request has to wait.
        """
        isolation = self._quarantine.isolation(facts.suspects, now_s)
        if isolation is Isolation.NONE and self._isolation.is_idle:
            return available
        live = [state for state in available if not state.has_ended(now_s)]
        if not live:
            return available
        suspects = self._quarantine.exclusive_suspects(facts.suspects, now_s)
        sound = [state for state in live if not state.is_penalized(now_s)]
        for candidates in (sound, live):
            processes = self._isolation.select(
                [state.upstream.process for state in candidates],
                isolation,
                suspects,
                now_s,
                may_use_last=is_resumed
                or not self._quarantine.protects_last_upstream(now_s),
            )
            if processes:
                return [state for state in live if state.upstream.process in processes]
        raise RefusalError(
            ResultCode.SUSPECT_BUSY,
            "the request may have crashed upstreams, and none is free for it",
            _RETRY_AFTER_S,
        )

    def announce(
        self, key: Hashable, process: str, facts: RequestFacts, now_s: float
    ) -> bool:
        """Announce a request that may crash its upstream to the other entries.

        ``key`` identifies its attempt. Returns whether it must not be sent
        before ``RUN_ANNOUNCEMENT_S`` have passed and ``may_run`` allows it.
        """
        suspects = self._quarantine.exclusive_suspects(facts.suspects, now_s)
        if not suspects:
            return False
        is_alone = (
            self._quarantine.isolation(facts.suspects, now_s) is Isolation.REQUIRED
        )
        self._isolation.begin(key, process, suspects, now_s, is_alone=is_alone)
        return True

    def may_run(self, key: Hashable, facts: RequestFacts, now_s: float) -> bool:
        """Return whether an announced request may be sent."""
        decision = self._quarantine.decide(facts.suspects, now_s)
        return decision == Decision() and self._isolation.may_run(key)
