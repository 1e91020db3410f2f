"""Replays recorded attempts on the estimates of each entry."""

import csv
import heapq
import itertools
from pathlib import Path

import attrs

from cardamomnotch_core.relay.fleet import UpstreamState
from cardamomnotch_core.relay.models import RequestFacts, Upstream
from cardamomnotch_core.relay.upstream_estimates.coordinator import UpstreamEstimates

_TRACES = Path(__file__).parents[3] / "traces" / "upstream_load"

# Time in which a notice reaches the other entries, and for which one of an end is
# held back, in milliseconds.
_NOTICE_MS = 10
_ENDED_NOTICE_MS = 200

# Attempts with these outcomes have no first token of an answer.
_UNANSWERED = frozenset({"unreachable", "lost", "failed", "not_run"})


@attrs.frozen(kw_only=True)
class RecordedAttempt:
    """One line of a recording; times in milliseconds from its start."""

    sent_ms: int
    entry: int
    upstream: int
    model: str
    cached_tokens: int
    unread_tokens: int
    expected_ms: int
    first_byte_ms: int
    ended_ms: int
    outcome: str

    @property
    def is_answered(self) -> bool:
        """Return whether the attempt has a first token."""
        return self.first_byte_ms >= 0 and self.outcome not in _UNANSWERED


@attrs.frozen(kw_only=True)
class ReplayedAttempt:
    """An answered attempt with what its entry expected when it sent it."""

    attempt: RecordedAttempt
    prefill_ms: float
    waiting_ms: float
    spread: float

    @property
    def expected_ms(self) -> float:
        """Return the expected time to the first token."""
        return self.prefill_ms + self.waiting_ms


def read_attempts(name):
    """Return the attempts of a recording in the order of their starts."""
    with (_TRACES / f"{name}.csv").open() as file:
        return [
            RecordedAttempt(
                **{
                    key: value if key in ("model", "outcome") else int(value)
                    for key, value in row.items()
                }
            )
            for row in csv.DictReader(file)
        ]


class _Entry:
    """What one entry knows: its own attempts, and the notices of the others."""

    def __init__(self, number):
        self.number = number
        self.estimates = UpstreamEstimates()
        self._states = {}

    def state(self, upstream):
        """Return this entry's state of an upstream."""
        if upstream not in self._states:
            registration = Upstream(
                upstream_id=str(upstream),
                service="service",
                address="",
                zone="zone-a",
                version="v1",
                slots=64,
            )
            self._states[upstream] = UpstreamState(registration)
        return self._states[upstream]


class Replay:
    """Replays one recording, event by event, at all entries that it names."""

    def __init__(self, attempts):
        self._attempts = attempts
        self._entries = {
            number: _Entry(number) for number in {item.entry for item in attempts}
        }
        self._numbers = itertools.count()
        self._events = []
        self.results = []
        for attempt in attempts:
            if attempt.outcome == "unreachable":
                continue
            self._at(attempt.sent_ms, 2, self._start, attempt)

    def run(self):
        """Return all answered attempts with their expected times."""
        while self._events:
            at_ms, _, _, event, arguments = heapq.heappop(self._events)
            event(at_ms / 1000, *arguments)
        return self.results

    def _at(self, at_ms, order, event, *arguments):
        number = next(self._numbers)
        heapq.heappush(self._events, (at_ms, order, number, event, arguments))

    def _notify(self, delay_ms, now_s, event, attempt, *arguments):
        at_ms = now_s * 1000 + delay_ms
        self._at(at_ms, 1, self._deliver, event, attempt, arguments)

    def _deliver(self, now_s, event, attempt, arguments):
        for entry in self._entries.values():
            if entry.number != attempt.entry:
                event(now_s, entry, attempt, *arguments)

    def _start(self, now_s, attempt):
        entry = self._entries[attempt.entry]
        state, key = entry.state(attempt.upstream), id(attempt)
        facts = RequestFacts(
            request_id=str(key),
            fingerprint=str(key),
            prompt_tokens=attempt.cached_tokens + attempt.unread_tokens,
        )
        estimate = entry.estimates.first_token(
            state, facts, attempt.model, attempt.unread_tokens, now_s
        )
        usual = entry.estimates.record_sent(
            state, key, facts, attempt.model, attempt.unread_tokens, now_s
        )
        state.in_flight += 1
        if attempt.is_answered:
            result = ReplayedAttempt(
                attempt=attempt,
                prefill_ms=estimate.prefill_ms,
                waiting_ms=estimate.waiting_ms,
                spread=estimate.spread,
            )
            self.results.append(result)
            at_ms = attempt.sent_ms + attempt.first_byte_ms
            self._at(at_ms, 0, self._answer, attempt)
        self._at(max(attempt.ended_ms, attempt.sent_ms), 0, self._end, attempt)
        self._notify(
            _NOTICE_MS, now_s, self._start_elsewhere, attempt, int(usual.idle_ms)
        )

    def _answer(self, now_s, attempt):
        entry = self._entries[attempt.entry]
        entry.estimates.record_first_token(
            entry.state(attempt.upstream),
            id(attempt),
            attempt.first_byte_ms / 1000,
            now_s,
        )
        self._notify(_NOTICE_MS, now_s, self._answer_elsewhere, attempt)

    def _end(self, now_s, attempt):
        entry = self._entries[attempt.entry]
        state = entry.state(attempt.upstream)
        state.in_flight -= 1
        entry.estimates.record_end(state, id(attempt), now_s, completed=False)
        self._notify(_ENDED_NOTICE_MS, now_s, self._end_elsewhere, attempt)

    def _start_elsewhere(self, now_s, entry, attempt, idle_ms):
        state, key = entry.state(attempt.upstream), (str(attempt.entry), id(attempt))
        entry.estimates.record_sent_by_other(state, key, attempt.model, idle_ms, now_s)
        state.remote_in_flight[key] = now_s

    def _answer_elsewhere(self, now_s, entry, attempt):
        key = (str(attempt.entry), id(attempt))
        entry.state(attempt.upstream).queue.finish(key, now_s, answered=True)

    def _end_elsewhere(self, now_s, entry, attempt):
        state, key = entry.state(attempt.upstream), (str(attempt.entry), id(attempt))
        state.queue.finish(key, now_s, answered=False)
        state.remote_in_flight.pop(key, None)
