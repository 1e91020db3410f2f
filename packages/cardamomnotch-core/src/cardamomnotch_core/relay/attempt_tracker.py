"""Tracking of attempts in flight, shared with the other entries by notices."""

import contextlib
import itertools
from collections.abc import Hashable, Iterable

from .admission.coordinator import Admission
from .const import (
    ENDED_NOTICE_DELAY_S,
    MAX_ATTEMPT_S,
    MAX_IDLE_WAIT_MS,
    PEER_ACTIVITY_WINDOW_S,
    RETRY_OTHER_ENTRY_S,
    RETRY_STORE_OUTAGE_S,
)
from .crashes.detection import AttemptEnd, CrashDetector
from .crashes.isolation import RunIsolation
from .crashes.quarantine import Quarantine
from .fleet import Fleet, UpstreamState
from .live_entries import LiveEntries
from .models import RequestFacts, Upstream
from .notices.models import LoadKind, LoadNotice
from .placement.placer import Placement, Placer
from .rates.upstream_rates import UpstreamRates
from .reachability import Reachability
from .rollouts.versions import VersionSelector


class AttemptTracker:
    """Records attempts in all estimates and limits that depend on them.

    These are the upstream's queue, its rate limits, its prompt cache, the
    rollout, the session, and the evidence of what crashes upstreams.
    """

    def __init__(
        self,
        fleet: Fleet,
        placer: Placer,
        rates: UpstreamRates,
        versions: VersionSelector,
        crash_detector: CrashDetector,
        quarantine: Quarantine,
        isolation: RunIsolation,
        entries: LiveEntries,
        reachability: Reachability,
        admission: Admission,
    ) -> None:
        self._fleet = fleet
        self._placer = placer
        self._rates = rates
        self._versions = versions
        self._crash_detector = crash_detector
        self._quarantine = quarantine
        self._isolation = isolation
        self._entries = entries
        self._reachability = reachability
        self._admission = admission
        self._notices: list[LoadNotice] = []
        # When the queued notices have to be sent.
        self._due_at_s = float("inf")
        # Number, session and workspace of each of this entry's attempts, as sent
        # in notices, and the time of its start; numbers are shorter than the
        # attempts' keys.
        self._local_attempts: dict[Hashable, tuple[int, str, str, float]] = {}
        self._next_attempt_number = itertools.count()
        # Upstream, session and time of the start notice of the other entries'
        # attempts, by entry name and attempt number.
        self._remote_attempts: dict[tuple[str, int], tuple[str, str, float]] = {}
        # When the last notice and the last start notice were received.
        self._notice_received_at_s = float("-inf")
        self._remote_start_at_s = float("-inf")

    def record_sent(
        self,
        placement: Placement,
        facts: RequestFacts,
        model: str,
        key: Hashable,
        now_s: float,
        workspace: str = "",
    ) -> None:
        """Record an attempt about to be sent; ``key`` identifies it.

        ``workspace`` is the hash of the workspace's name; empty if unknown.
        """
        state = placement.state
        session = facts.session if self._versions.is_in_first_stage(facts) else ""
        number = next(self._next_attempt_number)
        # First of all, so that each attempt that counts has an end.
        self._local_attempts[key] = number, session, workspace, now_s
        try:
            usual = self._placer.estimates.record_sent(
                state, key, facts, model, placement.unread_tokens, now_s
            )
        finally:
            # The estimate is of the upstream without this attempt.
            state.in_flight += 1
        self._rates.record_sent(state, now_s)
        self._placer.record_sent(state, key, facts, model, now_s)
        rollout = self._versions.get(state.upstream.service)
        if rollout is not None:
            rollout.record_sent(
                key, state.upstream.version, usual.expected_ms / 1000, now_s
            )
        self._crash_detector.record_sent(
            key,
            state.upstream.process,
            facts.suspects,
            now_s,
        )
        if not self._isolation.is_begun(key) and self._quarantine.is_open_suspect(
            facts.suspects
        ):
            self._isolation.begin(key, state.upstream.process, frozenset(), now_s)
        self._versions.sessions.record_started(state.upstream, session, now_s)
        self._admission.use.record_started(
            state.upstream.service, workspace, self._entries.own, number, now_s
        )
        self._queue_notice(
            LoadNotice(
                kind=LoadKind.STARTED,
                attempt=number,
                workspace=workspace,
                upstream_id=state.upstream_id,
                prefill_ms=int(usual.idle_ms),
                model=model,
                prompt=facts.prompt[:-1],
                session=session,
            ),
            now_s,
        )

    def record_first_byte(
        self,
        placement: Placement,
        model: str,
        key: Hashable,
        first_byte_s: float,
        now_s: float,
    ) -> None:
        """Record that an attempt's answer began after ``first_byte_s``."""
        state = placement.state
        self._crash_detector.record_first_byte(key, now_s)
        self._isolation.record_first_byte(key, now_s)
        self._placer.estimates.record_first_token(state, key, first_byte_s, now_s)
        self._placer.prompt_caches.record_read(state.upstream_id, key, now_s)
        self._reachability.record_answer(state.upstream, self._entries.own, now_s)
        rollout = self._versions.get(state.upstream.service)
        if rollout is not None:
            rollout.record_first_byte(key, now_s)
        if placement.waiting_ms <= MAX_IDLE_WAIT_MS:
            self._placer.first_tokens.update(
                model, placement.unread_tokens, first_byte_s * 1000
            )
        number, _, workspace, _ = self._local_attempts[key]
        notice = LoadNotice(kind=LoadKind.ANSWERED, attempt=number, workspace=workspace)
        self._queue_notice(notice, now_s)

    def record_outlasted_onset(self, key: Hashable, now_s: float) -> None:
        """Record that an answer has been arriving longer than a crash takes."""
        suspects = self._crash_detector.suspects(key)
        self._quarantine.record_outlasted_onset(suspects, now_s)
        self._isolation.end(key)

    def record_ended(
        self, state: UpstreamState, key: Hashable, end: AttemptEnd, now_s: float
    ) -> None:
        """Record the end of an attempt, whether it succeeded or not.

        Does nothing if it has not begun. What counted it stops to do so, even if one of
        the counts or what is learned from the attempt cannot be recorded.
        """
        attempt = self._local_attempts.pop(key, None)
        if attempt is None:
            return
        number, session, workspace, sent_at_s = attempt
        upstream = state.upstream
        is_completed = end is AttemptEnd.COMPLETED
        suspects = self._crash_detector.suspects(key)
        state.in_flight -= 1
        # Called in the reverse order.
        with contextlib.ExitStack() as ends:
            ends.callback(self._admission.handle_ended, state, key, now_s)
            ends.callback(self._queue_end_notice, upstream, number, workspace, now_s)
            ends.callback(
                self._admission.use.record_ended, self._entries.own, number, now_s
            )
            ends.callback(
                self._versions.sessions.record_ended, upstream, session, now_s
            )
            if is_completed:
                ends.callback(
                    self._admission.record_completed,
                    upstream.service,
                    now_s - sent_at_s,
                )
            rollout = self._versions.get(upstream.service)
            if rollout is not None:
                ends.callback(rollout.record_ended, key, now_s)
            ends.callback(
                self._placer.prompt_caches.record_ended, state.upstream_id, key
            )
            ends.callback(
                self._placer.estimates.record_end,
                state,
                key,
                now_s,
                completed=is_completed,
            )
            ends.callback(self._isolation.end, key)
            ends.callback(self._record_crashes, key, end, now_s)
            if is_completed:
                ends.callback(self._quarantine.record_completed, suspects, now_s)

    def take_notices(self, now_s: float) -> list[LoadNotice]:
        """Return the notices that are due and remove them from the queue.

        A queue of end notices alone is held back for a while, so that they are
        sent with another notice.
        """
        if now_s < self._due_at_s:
            return []
        notices, self._notices = self._notices, []
        self._due_at_s = float("inf")
        return notices

    def apply_notices(
        self, entry: str, notices: Iterable[LoadNotice], now_s: float
    ) -> None:
        """Record another entry's attempts from its notices."""
        self._notice_received_at_s = now_s
        use = self._admission.use
        use.record_notice(now_s)
        self._expire_remote_attempts(now_s)
        sessions = self._versions.sessions
        for notice in notices:
            key = (entry, notice.attempt)
            if notice.kind is LoadKind.STARTED:
                self._remote_start_at_s = now_s
                self._remote_attempts[key] = (notice.upstream_id, notice.session, now_s)
            upstream_id, session, _ = self._remote_attempts.get(key, ("", "", 0.0))
            if notice.kind is LoadKind.ENDED:
                self._remote_attempts.pop(key, None)
                use.record_ended(entry, notice.attempt, now_s)
            state = self._fleet.get(upstream_id)
            if state is None:
                continue
            if notice.kind is LoadKind.STARTED:
                self._placer.estimates.record_sent_by_other(
                    state, key, notice.model, notice.prefill_ms, now_s
                )
                state.remote_in_flight[key] = now_s
                self._rates.record_sent_by_other(state, now_s)
                self._placer.record_sent_by_other(
                    state, key, notice.prompt, notice.model, now_s
                )
                sessions.record_started(state.upstream, session, now_s)
                use.record_started(
                    state.upstream.service,
                    notice.workspace,
                    entry,
                    notice.attempt,
                    now_s,
                )
            elif notice.kind is LoadKind.ANSWERED:
                state.queue.finish(key, now_s, answered=True)
                self._placer.prompt_caches.record_read(upstream_id, key, now_s)
                self._reachability.record_answer(state.upstream, entry, now_s)
            else:
                state.queue.finish(key, now_s, answered=False)
                self._placer.prompt_caches.record_ended(upstream_id, key)
                state.remote_in_flight.pop(key, None)
                sessions.record_ended(state.upstream, session, now_s)
                self._admission.handle_ended(state, key, now_s)

    def _record_crashes(self, key: Hashable, end: AttemptEnd, now_s: float) -> None:
        crashes = self._crash_detector.record_ended(key, end, now_s)
        self._quarantine.record_crashes(crashes, now_s)

    def _queue_end_notice(
        self, upstream: Upstream, number: int, workspace: str, now_s: float
    ) -> None:
        notice = LoadNotice(kind=LoadKind.ENDED, attempt=number, workspace=workspace)
        # Other entries' requests may wait for the slot.
        is_short = self._admission.use.is_short(upstream.service, now_s)
        delay_s = 0.0 if is_short else ENDED_NOTICE_DELAY_S
        self._queue_notice(notice, now_s + delay_s)

    def stale_retry_s(self, now_s: float) -> float:
        """Return the retry time for callers while the store is unreachable.

        Callers can turn to another entry at once, unless no entry can reach
        the store: then the others still send notices, but start no requests.
        """
        peer_active = now_s - self._notice_received_at_s <= PEER_ACTIVITY_WINDOW_S
        peer_serves = now_s - self._remote_start_at_s <= PEER_ACTIVITY_WINDOW_S
        return (
            RETRY_STORE_OUTAGE_S
            if peer_active and not peer_serves
            else RETRY_OTHER_ENTRY_S
        )

    def _queue_notice(self, notice: LoadNotice, due_at_s: float) -> None:
        if len(self._entries) > 1:
            self._notices.append(notice)
            self._due_at_s = min(self._due_at_s, due_at_s)

    def _expire_remote_attempts(self, now_s: float) -> None:
        """Delete other entries' attempts that have no end notice in time."""
        while self._remote_attempts:
            key, (_, _, started_at_s) = next(iter(self._remote_attempts.items()))
            if started_at_s > now_s - MAX_ATTEMPT_S:
                return
            del self._remote_attempts[key]
