"""What is under way at upstreams, told to and by the other entries."""

import itertools
from collections.abc import Hashable, Iterable, Set

from .cold import ColdLimiter
from .const import (
    ENDED_NOTICE_DELAY_S,
    IDLE_WAIT_MS,
    MAX_RUN_S,
    OTHERS_RECENT_S,
    RETRY_ELSEWHERE_S,
    RETRY_OUTAGE_S,
)
from .fleet import Fleet, UpstreamState
from .models import RequestFacts
from .notices import LoadKind, LoadNotice
from .placing import Placement, Placer, parallel_reads
from .versions import VersionBook


class LoadBook:
    """Counts attempts where they matter: queue, cold rate, cache, roll-out.

    ``entries`` are the names of the live entries, this one included.
    """

    def __init__(
        self,
        fleet: Fleet,
        placer: Placer,
        cold: ColdLimiter,
        versions: VersionBook,
        entries: Set[str],
    ) -> None:
        self._fleet = fleet
        self._placer = placer
        self._cold = cold
        self._versions = versions
        self._entries = entries
        self._notices: list[LoadNotice] = []
        # When the notices that can wait have to be told.
        self._due_at_s = float("inf")
        # The numbers of own attempts, which are shorter than their keys, and the
        # sessions that others are told of.
        self._numbers: dict[Hashable, tuple[int, str]] = {}
        self._next_number = itertools.count()
        # Upstreams and sessions of other entries' attempts, and when they were
        # heard of.
        self._others: dict[tuple[str, int], tuple[str, str, float]] = {}
        # When another entry was heard, and when one began a request.
        self._heard_at_s = float("-inf")
        self._others_served_at_s = float("-inf")

    def note_sent(
        self,
        placement: Placement,
        facts: RequestFacts,
        model: str,
        key: Hashable,
        now_s: float,
    ) -> None:
        """Count an attempt that is about to be sent; ``key`` identifies it."""
        state = placement.state
        state.in_flight += 1
        parallel = parallel_reads(state, facts)
        state.queue.start(key, placement.reading_ms, now_s, parallel)
        self._cold.note_sent(state.upstream_id, now_s)
        self._placer.note_sent(state, facts.prompt, model)
        rollout = self._versions.get(state.upstream.service)
        if rollout is not None:
            rollout.side(state.upstream.version).in_flight += 1
        session = facts.session if self._versions.moves_first(facts) else ""
        self._versions.sessions.note_started(state.upstream, session, now_s)
        self._numbers[key] = next(self._next_number), session
        self._tell(
            LoadNotice(
                kind=LoadKind.STARTED,
                attempt=self._numbers[key][0],
                upstream_id=state.upstream_id,
                reading_ms=int(placement.reading_ms),
                model=model,
                prompt=facts.prompt[:-1],
                session=session,
            ),
            now_s,
        )

    def note_first_byte(
        self,
        placement: Placement,
        model: str,
        key: Hashable,
        seen_s: float,
        now_s: float,
    ) -> None:
        """Note that the attempt's answer has begun after ``seen_s`` seconds."""
        state = placement.state
        state.queue.finish(key, now_s, answered=True)
        if placement.waiting_ms <= IDLE_WAIT_MS:
            self._placer.first_tokens.note(
                model, placement.unread_tokens, seen_s * 1000
            )
        number, _ = self._numbers[key]
        notice = LoadNotice(kind=LoadKind.ANSWERED, attempt=number)
        self._tell(notice, now_s)

    def note_ended(self, state: UpstreamState, key: Hashable, now_s: float) -> None:
        """Note that an attempt is over, however it ended."""
        state.in_flight -= 1
        state.queue.finish(key, now_s, answered=False)
        rollout = self._versions.get(state.upstream.service)
        if rollout is not None:
            side = rollout.side(state.upstream.version)
            side.in_flight = max(0, side.in_flight - 1)
        number, session = self._numbers.pop(key)
        self._versions.sessions.note_ended(state.upstream, session, now_s)
        notice = LoadNotice(kind=LoadKind.ENDED, attempt=number)
        self._tell(notice, now_s + ENDED_NOTICE_DELAY_S)

    def take_notices(self, now_s: float) -> list[LoadNotice]:
        """Return what the other entries should be told of by now, once.

        An end alone waits for a while, so that it goes with another notice.
        """
        if now_s < self._due_at_s:
            return []
        notices, self._notices = self._notices, []
        self._due_at_s = float("inf")
        return notices

    def apply_notices(
        self, entry: str, notices: Iterable[LoadNotice], now_s: float
    ) -> None:
        """Take over what another entry has sent to upstreams."""
        self._heard_at_s = now_s
        self._forget_lost(now_s)
        sessions = self._versions.sessions
        for notice in notices:
            key = (entry, notice.attempt)
            if notice.kind is LoadKind.STARTED:
                self._others_served_at_s = now_s
                self._others[key] = (notice.upstream_id, notice.session, now_s)
            upstream_id, session, _ = self._others.get(key, ("", "", 0.0))
            if notice.kind is LoadKind.ENDED:
                self._others.pop(key, None)
            state = self._fleet.get(upstream_id)
            if state is None:
                continue
            if notice.kind is LoadKind.STARTED:
                state.queue.start(key, notice.reading_ms, now_s)
                state.others_in_flight[key] = now_s
                self._placer.note_sent(state, notice.prompt, notice.model)
                sessions.note_started(state.upstream, session, now_s)
            elif notice.kind is LoadKind.ANSWERED:
                state.queue.finish(key, now_s, answered=True)
            else:
                state.queue.finish(key, now_s, answered=False)
                state.others_in_flight.pop(key, None)
                sessions.note_ended(state.upstream, session, now_s)

    def stale_retry_s(self, now_s: float) -> float:
        """Return when a caller should come back while the store is away.

        Another entry serves at once, unless all are cut off: then they are
        still heard, but begin nothing.
        """
        heard = now_s - self._heard_at_s <= OTHERS_RECENT_S
        served = now_s - self._others_served_at_s <= OTHERS_RECENT_S
        return RETRY_OUTAGE_S if heard and not served else RETRY_ELSEWHERE_S

    def _tell(self, notice: LoadNotice, due_at_s: float) -> None:
        if len(self._entries) > 1:
            self._notices.append(notice)
            self._due_at_s = min(self._due_at_s, due_at_s)

    def _forget_lost(self, now_s: float) -> None:
        """Forget other entries' attempts of which no end was heard."""
        while self._others:
            key, (_, _, heard_at_s) = next(iter(self._others.items()))
            if heard_at_s > now_s - MAX_RUN_S:
                return
            del self._others[key]
