"""Crash attribution at a sidecar."""

import attrs

from cardamomnotch_protocol.exceptions import CardamomnotchError
from cardamomnotch_protocol.models import AttemptRequest
from cardamomnotch_protocol.result_codes import ResultCode

from ..configuration.models import Configuration
from .const import ATTRIBUTION_WAIT_S, SUSPECT_RETENTION_S, SUSPECT_RETRY_AFTER_S
from .models import fingerprint_key
from .registry import QuarantineRegistry


@attrs.define(kw_only=True)
class _RunningAttempt:
    """An attempt in flight, with the upstream's start id when it started.

    ``in_flight_at_break`` are the fingerprints in flight when the first
    upstream connection broke; None while no connection has broken.
    """

    fingerprint: str
    start_id: str
    is_suspect: bool
    in_flight_at_break: tuple[str, ...] | None = None


@attrs.frozen(kw_only=True)
class _Crash:
    """Fingerprints in flight at a crash of this or another upstream.

    ``observed_here`` is set for a crash of this sidecar's upstream.
    """

    fingerprints: tuple[str, ...]
    observed_here: bool


class CrashTracker:
    """Records which requests were in flight at crashes of the upstream.

    Admits one suspect at a time, so that another crash can be attributed to
    the suspect that runs.
    """

    def __init__(self, registry: QuarantineRegistry) -> None:
        self._registry = registry
        self._running: dict[str, _RunningAttempt] = {}
        # Crashes with the time at which each is forgotten.
        self._crashes: dict[_Crash, float] = {}

    def recent_suspects(self, now_s: float) -> tuple[str, ...]:
        """Return the suspects of recent crashes, for heartbeat replies."""
        oldest_s = now_s + SUSPECT_RETENTION_S - ATTRIBUTION_WAIT_S
        recent = (
            fingerprint
            for crash in self._unexplained_crashes(now_s)
            if crash.observed_here and self._crashes[crash] > oldest_s
            for fingerprint in crash.fingerprints
        )
        return tuple(sorted(set(recent)))

    def apply_configuration(self, configuration: Configuration, now_s: float) -> None:
        """Record the unexpired crashes in ``configuration``."""
        for crash in configuration.crashes:
            if crash.until_s > self._registry.wall_time_s(now_s):
                self._record_crash(
                    _Crash(fingerprints=crash.fingerprints, observed_here=False), now_s
                )

    def check(self, request: AttemptRequest, now_s: float) -> None:
        """Raise CardamomnotchError if a suspect may not run here now.

        It may not while another suspect runs, nor after it was in flight at a
        crash of this upstream.
        """
        if request.co_suspects:
            self._record_crash(
                _Crash(fingerprints=request.co_suspects, observed_here=False), now_s
            )
        suspects = self._suspects(now_s)
        if not _is_suspect(request, suspects):
            return
        running = self._running.values()
        suspect_runs = any(
            item.is_suspect or item.fingerprint in suspects for item in running
        )
        key = fingerprint_key(request.workspace, request.fingerprint)
        if suspect_runs or self._crashed_here(key, now_s):
            raise CardamomnotchError(
                code=ResultCode.SUSPECT_BUSY, retry_after_s=SUSPECT_RETRY_AFTER_S
            )

    def start(self, request: AttemptRequest, start_id: str, now_s: float) -> None:
        """Record that the attempt is running."""
        if request.service:
            # Services other than engines report no start id, so a crash of one
            # can't be confirmed.
            return
        self._running[request.attempt_id] = _RunningAttempt(
            fingerprint=fingerprint_key(request.workspace, request.fingerprint),
            start_id=start_id,
            is_suspect=_is_suspect(request, self._suspects(now_s)),
        )

    def record_connection_break(self, attempt_id: str) -> None:
        """Record that the attempt's upstream connection broke.

        Whether the upstream crashed is determined when the attempt ends.
        """
        broken = self._running.get(attempt_id)
        if broken is None or broken.in_flight_at_break is not None:
            return
        affected = [
            item for item in self._running.values() if item.in_flight_at_break is None
        ]
        fingerprints_in_flight = tuple(
            sorted({item.fingerprint for item in affected} - {""})
        )
        for item in affected:
            item.in_flight_at_break = fingerprints_in_flight

    def end(
        self, attempt_id: str, *, connection_lost: bool, start_id: str, now_s: float
    ) -> tuple[str, ...]:
        """Forget the attempt; if the upstream crashed, return the suspects.

        ``start_id`` is the upstream's current one, empty if it does not
        answer; if it is unchanged, the upstream has not crashed.
        """
        ended = self._running.pop(attempt_id, None)
        if ended is None or not connection_lost:
            return ()
        if start_id == ended.start_id:
            self._discard_break(ended.in_flight_at_break)
            return ()
        fingerprints_in_flight = ended.in_flight_at_break or (ended.fingerprint,)
        self._record_crash(
            _Crash(fingerprints=fingerprints_in_flight, observed_here=True), now_s
        )
        return fingerprints_in_flight

    def _discard_break(self, fingerprints_in_flight: tuple[str, ...] | None) -> None:
        """Forget a broken connection that was not caused by a crash."""
        for item in self._running.values():
            if item.in_flight_at_break is fingerprints_in_flight:
                item.in_flight_at_break = None

    def _record_crash(self, crash: _Crash, now_s: float) -> None:
        self._crashes[crash] = now_s + SUSPECT_RETENTION_S

    def _crashed_here(self, fingerprint: str, now_s: float) -> bool:
        crashes = self._unexplained_crashes(now_s)
        return any(
            crash.observed_here and fingerprint in crash.fingerprints
            for crash in crashes
        )

    def _suspects(self, now_s: float) -> frozenset[str]:
        crashes = self._unexplained_crashes(now_s)
        return frozenset(
            fingerprint for crash in crashes for fingerprint in crash.fingerprints
        )

    def _unexplained_crashes(self, now_s: float) -> tuple[_Crash, ...]:
        """Return the remembered crashes without a quarantined request."""
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
            if not any(
                self._registry.is_quarantined(fingerprint, now_s)
                for fingerprint in crash.fingerprints
            )
        )


def _is_suspect(request: AttemptRequest, suspects: frozenset[str]) -> bool:
    key = fingerprint_key(request.workspace, request.fingerprint)
    return bool(request.suspected_crashes) or key in suspects
