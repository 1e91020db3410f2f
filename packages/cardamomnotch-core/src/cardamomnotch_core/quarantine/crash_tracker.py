"""Crash attribution at a sidecar."""

import attrs

from cardamomnotch_protocol.exceptions import CardamomnotchError
from cardamomnotch_protocol.models import AttemptRequest
from cardamomnotch_protocol.result_codes import ResultCode

from ..configuration.models import Configuration
from .const import SUSPECT_RETENTION_S, VERDICT_RETRY_AFTER_S, VERDICT_WAIT_S
from .models import fingerprint_key
from .registry import QuarantineRegistry


@attrs.define(kw_only=True)
class _Running:
    """An attempt in flight, with the upstream's start id when it began.

    ``crash_with`` are the fingerprints in flight when the first connection of
    the same crash broke.
    """

    fingerprint: str
    start_id: str
    suspect: bool
    crash_with: tuple[str, ...] | None = None


@attrs.frozen(kw_only=True)
class _Crash:
    """Fingerprints that were in flight together; ``own`` if it was here."""

    fingerprints: tuple[str, ...]
    own: bool


class CrashTracker:
    """Knows what was in flight at a crash, and runs one suspect at a time."""

    def __init__(self, book: QuarantineRegistry) -> None:
        self._book = book
        self._running: dict[str, _Running] = {}
        # When each crash is forgotten.
        self._crashes: dict[_Crash, float] = {}

    def reported(self, now_s: float) -> tuple[str, ...]:
        """Return the suspects of fresh crashes here, to be told to entries."""
        oldest_s = now_s + SUSPECT_RETENTION_S - VERDICT_WAIT_S
        fresh = (
            one
            for crash in self._open_crashes(now_s)
            if crash.own and self._crashes[crash] > oldest_s
            for one in crash.fingerprints
        )
        return tuple(sorted(set(fresh)))

    def take_listed(self, configuration: Configuration, now_s: float) -> None:
        """Note the crashes that the lists tell of."""
        for crash in configuration.crashes:
            if crash.until_s > self._book.wall_time_s(now_s):
                self._note(_Crash(fingerprints=crash.fingerprints, own=False), now_s)

    def check(self, request: AttemptRequest, now_s: float) -> None:
        """Raise CardamomnotchError if another suspect runs, or it crashed here."""
        if request.co_suspects:
            self._note(_Crash(fingerprints=request.co_suspects, own=False), now_s)
        suspects = self._suspects(now_s)
        if not _is_suspect(request, suspects):
            return
        running = self._running.values()
        busy = any(item.suspect or item.fingerprint in suspects for item in running)
        key = fingerprint_key(request.workspace, request.fingerprint)
        if busy or self._crashed_here(key, now_s):
            raise CardamomnotchError(
                code=ResultCode.SUSPECT_BUSY, retry_after_s=VERDICT_RETRY_AFTER_S
            )

    def start(self, request: AttemptRequest, start_id: str, now_s: float) -> None:
        """Note that the attempt runs."""
        if request.service:
            # Plain services tell no start id, so a crash can't be confirmed.
            return
        self._running[request.attempt_id] = _Running(
            fingerprint=fingerprint_key(request.workspace, request.fingerprint),
            start_id=start_id,
            suspect=_is_suspect(request, self._suspects(now_s)),
        )

    def note_break(self, attempt_id: str) -> None:
        """Note that the attempt's connection broke, before asking why."""
        broken = self._running.get(attempt_id)
        if broken is None or broken.crash_with is not None:
            return
        others = [item for item in self._running.values() if item.crash_with is None]
        together = tuple(sorted({item.fingerprint for item in others} - {""}))
        for item in others:
            item.crash_with = together

    def end(
        self, attempt_id: str, *, connection_lost: bool, start_id: str, now_s: float
    ) -> tuple[str, ...]:
        """Forget the attempt; return who crashed the upstream, if it crashed.

        ``start_id`` is the upstream's now; empty if it does not answer.
        """
        ended = self._running.pop(attempt_id, None)
        if ended is None or not connection_lost:
            return ()
        if start_id == ended.start_id:
            self._reopen(ended.crash_with)
            return ()
        together = ended.crash_with or (ended.fingerprint,)
        self._note(_Crash(fingerprints=together, own=True), now_s)
        return together

    def _reopen(self, together: tuple[str, ...] | None) -> None:
        """Forget a break that was no crash."""
        for item in self._running.values():
            if item.crash_with is together:
                item.crash_with = None

    def _note(self, crash: _Crash, now_s: float) -> None:
        self._crashes[crash] = now_s + SUSPECT_RETENTION_S

    def _crashed_here(self, fingerprint: str, now_s: float) -> bool:
        crashes = self._open_crashes(now_s)
        return any(one.own and fingerprint in one.fingerprints for one in crashes)

    def _suspects(self, now_s: float) -> frozenset[str]:
        crashes = self._open_crashes(now_s)
        return frozenset(one for item in crashes for one in item.fingerprints)

    def _open_crashes(self, now_s: float) -> tuple[_Crash, ...]:
        """Return the crashes that no quarantined request explains."""
        if not self._crashes:
            return ()
        self._crashes = {
            crash: until_s
            for crash, until_s in self._crashes.items()
            if until_s > now_s
        }
        return tuple(
            crash
            for crash in self._crashes
            if not any(self._book.holds(one, now_s) for one in crash.fingerprints)
        )


def _is_suspect(request: AttemptRequest, suspects: frozenset[str]) -> bool:
    key = fingerprint_key(request.workspace, request.fingerprint)
    return bool(request.suspected_crashes) or key in suspects
