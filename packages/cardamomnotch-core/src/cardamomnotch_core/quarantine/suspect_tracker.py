"""Crash attribution at an entry."""

from collections.abc import Callable, Iterable, Set

import attrs

from cardamomnotch_protocol.exceptions import CardamomnotchError
from cardamomnotch_protocol.result_codes import ResultCode

from ..configuration.models import Configuration, UpstreamCrash
from .changes import CrashChange, QuarantineChange
from .const import (
    ANSWER_RETENTION_S,
    ATTRIBUTION_WAIT_S,
    MAX_ANSWERED_PARTS,
    QUARANTINE_S,
    SUSPECT_RETENTION_S,
    SUSPECT_RETRY_AFTER_S,
)
from .models import CrashHistory, SuspectRecord, parts_key
from .registry import QuarantineRegistry

_NO_VM_IDS: frozenset[str] = frozenset()


class SuspectTracker:
    """Finds out which request caused a crash, by running suspects again.

    A suspect is run again with no other suspect on the same upstream, and then
    cleared or quarantined. ``is_served`` tells whether a request, given by its
    id, is in flight at this entry.
    """

    def __init__(
        self, registry: QuarantineRegistry, is_served: Callable[[str], bool]
    ) -> None:
        self._registry = registry
        self._is_served = is_served
        self._suspects: dict[str, SuspectRecord] = {}
        self._known_configured_crashes: tuple[UpstreamCrash, ...] = ()
        # When each prompt part was last answered, in the order of these times.
        self._answered_at_s: dict[str, float] = {}

    @property
    def fingerprints(self) -> tuple[str, ...]:
        """Return the fingerprints of the suspects."""
        return tuple(sorted(self._suspects))

    def check(
        self, fingerprint: str, now_s: float, parts: Set[str] = frozenset()
    ) -> None:
        """Raise CardamomnotchError if the request may not run now.

        It may not while it or one of its parts is in quarantine, while another
        request reruns it, or while another entry may still attribute its crash.
        """
        self._registry.check(fingerprint, now_s)
        self._registry.check_parts(parts, now_s)
        suspect = self._get(fingerprint, now_s)
        if suspect is None:
            return
        if now_s < suspect.wait_until_s or self._is_served(suspect.rerun_id):
            raise CardamomnotchError(
                code=ResultCode.SUSPECT_BUSY, retry_after_s=SUSPECT_RETRY_AFTER_S
            )

    def crashed_vms(
        self, fingerprint: str, request_id: str, now_s: float
    ) -> frozenset[str]:
        """Return the VMs whose upstream crashed with the request in flight.

        Raises CardamomnotchError if another request is rerunning the suspect.
        """
        suspect = self._get(fingerprint, now_s)
        if suspect is None:
            return _NO_VM_IDS
        if suspect.rerun_id != request_id and self._is_served(suspect.rerun_id):
            raise CardamomnotchError(
                code=ResultCode.SUSPECT_BUSY, retry_after_s=SUSPECT_RETRY_AFTER_S
            )
        return suspect.crashed_vms

    def start_rerun(
        self, fingerprint: str, request_id: str, now_s: float
    ) -> CrashHistory:
        """Return the request's crash history, and record it as the rerun.

        The history is empty if the request is not a suspect.
        """
        suspect = self._get(fingerprint, now_s)
        if suspect is None:
            return CrashHistory()
        self._suspects[fingerprint] = attrs.evolve(
            suspect, rerun_id=request_id, crashed_vms_at_rerun=suspect.crashed_vms
        )
        return CrashHistory(
            crashes=len(suspect.crashed_vms), co_suspects=suspect.co_suspects
        )

    def clear(self, fingerprint: str) -> None:
        """Remove the suspect, because its request completed."""
        self._suspects.pop(fingerprint, None)

    def record_answered(self, parts: Iterable[str], now_s: float) -> None:
        """Record that a request with these parts completed."""
        for part in parts:
            self._answered_at_s.pop(part, None)
            self._answered_at_s[part] = now_s
        while len(self._answered_at_s) > MAX_ANSWERED_PARTS:
            del self._answered_at_s[next(iter(self._answered_at_s))]

    def attribute_crash(
        self,
        fingerprint: str,
        request_id: str,
        vm_id: str,
        co_suspects: tuple[str, ...],
        now_s: float,
        parts: Set[str] = frozenset(),
    ) -> QuarantineChange | CrashChange | None:
        """Record a crash, and return the configuration change that reports it.

        A rerun has no other suspect on its upstream, so a second crash, on
        another VM, is attributed to it, and it is quarantined. Of the entries
        that had attempts in flight at a crash, only the one that sent the
        first of the fingerprints reports it; for the others this returns None.
        """
        suspect = self._get(fingerprint, now_s)
        was_rerun = suspect is not None and suspect.rerun_id == request_id
        # ``crashed_vms`` may have this VM already, from a co-suspect's report.
        if was_rerun and vm_id not in suspect.crashed_vms_at_rerun:
            return self._quarantine(fingerprint, parts, now_s)
        for suspected in {fingerprint, *co_suspects}:
            self._add_suspect(suspected, vm_id, co_suspects, now_s)
        self._mark_crashed_here(fingerprint)
        self._defer_to_other_entries(
            set(co_suspects) - {fingerprint}, now_s + ATTRIBUTION_WAIT_S
        )
        if fingerprint != co_suspects[0]:
            return None
        made_at_s = self._registry.wall_time_s(now_s)
        crash = UpstreamCrash(
            vm_id=vm_id,
            fingerprints=co_suspects,
            until_s=made_at_s + ATTRIBUTION_WAIT_S,
        )
        return CrashChange(crash=crash, made_at_s=made_at_s)

    def apply_configuration(self, configuration: Configuration, now_s: float) -> None:
        """Record the unexpired crashes in ``configuration``, each once."""
        wall_s = self._registry.wall_time_s(now_s)
        for crash in configuration.crashes:
            remaining_s = crash.until_s - wall_s
            if crash not in self._known_configured_crashes and remaining_s > 0:
                self.add_reported(crash.vm_id, crash.fingerprints, now_s, remaining_s)
        self._known_configured_crashes = configuration.crashes

    def add_reported(
        self,
        vm_id: str,
        fingerprints: Iterable[str],
        now_s: float,
        wait_s: float = ATTRIBUTION_WAIT_S,
    ) -> None:
        """Add the suspects of a crash on ``vm_id`` that are not known yet.

        They may not run here for ``wait_s`` seconds.
        """
        for fingerprint in fingerprints:
            if self._get(fingerprint, now_s) is None:
                self._add_suspect(fingerprint, vm_id, (), now_s)
                self._defer_to_other_entries((fingerprint,), now_s + wait_s)

    def expire(self, now_s: float) -> None:
        """Forget the suspects whose retention time has passed."""
        for fingerprint in tuple(self._suspects):
            self._get(fingerprint, now_s)

    def _quarantine(
        self, fingerprint: str, parts: Set[str], now_s: float
    ) -> QuarantineChange:
        self._clear_co_suspects(fingerprint)
        made_at_s = self._registry.wall_time_s(now_s)
        suspected_parts = tuple(
            sorted(part for part in parts if not self._was_answered(part, now_s))
        )
        self._registry.add(fingerprint, made_at_s + QUARANTINE_S)
        if suspected_parts:
            key = parts_key(fingerprint, suspected_parts)
            self._registry.add(key, made_at_s + QUARANTINE_S)
        return QuarantineChange(
            fingerprint=fingerprint,
            parts=suspected_parts,
            made_at_s=made_at_s,
            until_s=made_at_s + QUARANTINE_S,
        )

    def _was_answered(self, part: str, now_s: float) -> bool:
        answered_at_s = self._answered_at_s.get(part)
        return answered_at_s is not None and now_s - answered_at_s < ANSWER_RETENTION_S

    def _clear_co_suspects(self, crash_cause: str) -> None:
        """Remove ``crash_cause`` and the suspects that were in flight with it."""
        self._suspects = {
            key: suspect
            for key, suspect in self._suspects.items()
            if crash_cause != key and crash_cause not in suspect.co_suspects
        }

    def _add_suspect(
        self, fingerprint: str, vm_id: str, co_suspects: tuple[str, ...], now_s: float
    ) -> None:
        known = self._get(fingerprint, now_s) or SuspectRecord()
        self._suspects[fingerprint] = attrs.evolve(
            known,
            crashed_vms=known.crashed_vms | {vm_id},
            co_suspects=co_suspects or known.co_suspects,
            forget_at_s=now_s + SUSPECT_RETENTION_S,
        )

    def _mark_crashed_here(self, fingerprint: str) -> None:
        """Mark a suspect that this entry sent, so that it need not wait."""
        self._suspects[fingerprint] = attrs.evolve(
            self._suspects[fingerprint], crashed_here=True, wait_until_s=float("-inf")
        )

    def _defer_to_other_entries(
        self, fingerprints: Iterable[str], until_s: float
    ) -> None:
        """Let suspects that this entry did not send wait until ``until_s``.

        A co-suspect may be another entry's request; that entry reruns it.
        """
        for fingerprint in fingerprints:
            suspect = self._suspects[fingerprint]
            if not suspect.crashed_here:
                self._suspects[fingerprint] = attrs.evolve(
                    suspect, wait_until_s=max(suspect.wait_until_s, until_s)
                )

    def _get(self, fingerprint: str, now_s: float) -> SuspectRecord | None:
        """Return the suspect; None if it is not known or has expired.

        A suspect does not expire while a request reruns it.
        """
        suspect = self._suspects.get(fingerprint)
        if suspect is None or suspect.forget_at_s > now_s:
            return suspect
        if self._is_served(suspect.rerun_id):
            return suspect
        del self._suspects[fingerprint]
        return None
