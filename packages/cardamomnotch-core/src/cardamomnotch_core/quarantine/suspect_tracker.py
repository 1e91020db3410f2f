"""Crash attribution at an entry."""

from collections.abc import Callable, Iterable

import attrs

from cardamomnotch_protocol.exceptions import CardamomnotchError
from cardamomnotch_protocol.result_codes import ResultCode

from ..configuration.models import Configuration, UpstreamCrash
from .changes import CrashChange, QuarantineChange
from .const import (
    QUARANTINE_S,
    SUSPECT_RETENTION_S,
    VERDICT_RETRY_AFTER_S,
    VERDICT_WAIT_S,
)
from .models import SuspectRecord, Suspicion
from .registry import QuarantineRegistry

_NO_VMS: frozenset[str] = frozenset()


class SuspectTracker:
    """Lets a suspect run once more, alone among suspects, then judges it.

    ``is_served`` tells whether this entry still serves a request.
    """

    def __init__(
        self, book: QuarantineRegistry, is_served: Callable[[str], bool]
    ) -> None:
        self._book = book
        self._is_served = is_served
        self._suspects: dict[str, SuspectRecord] = {}
        self._listed: tuple[UpstreamCrash, ...] = ()

    @property
    def fingerprints(self) -> tuple[str, ...]:
        """Return the fingerprints under suspicion."""
        return tuple(sorted(self._suspects))

    def check(self, fingerprint: str, now_s: float) -> None:
        """Raise CardamomnotchError if the request may not run now."""
        self._book.check(fingerprint, now_s)
        suspect = self._get(fingerprint, now_s)
        if suspect is None:
            return
        if now_s < suspect.wait_until_s or self._is_served(suspect.rerun_id):
            raise CardamomnotchError(
                code=ResultCode.SUSPECT_BUSY, retry_after_s=VERDICT_RETRY_AFTER_S
            )

    def crashed_vms(
        self, fingerprint: str, request_id: str, now_s: float
    ) -> frozenset[str]:
        """Return the VMs whose upstream crashed under the request.

        Raises CardamomnotchError if another request runs the suspect.
        """
        suspect = self._get(fingerprint, now_s)
        if suspect is None:
            return _NO_VMS
        if suspect.rerun_id != request_id and self._is_served(suspect.rerun_id):
            raise CardamomnotchError(
                code=ResultCode.SUSPECT_BUSY, retry_after_s=VERDICT_RETRY_AFTER_S
            )
        return suspect.crashed_vms

    def claim(self, fingerprint: str, request_id: str, now_s: float) -> Suspicion:
        """Return what to tell the sidecar, and note who runs the suspect."""
        suspect = self._get(fingerprint, now_s)
        if suspect is None:
            return Suspicion()
        self._suspects[fingerprint] = attrs.evolve(
            suspect, rerun_id=request_id, rerun_avoids=suspect.crashed_vms
        )
        return Suspicion(
            crashes=len(suspect.crashed_vms), co_suspects=suspect.co_suspects
        )

    def clear(self, fingerprint: str) -> None:
        """Drop the suspicion; the request ran to its end."""
        self._suspects.pop(fingerprint, None)

    def judge(
        self,
        fingerprint: str,
        request_id: str,
        vm_id: str,
        co_suspects: tuple[str, ...],
        now_s: float,
    ) -> QuarantineChange | CrashChange | None:
        """Note a crash, and return what others must know of it.

        A suspect runs alone among suspects, so a second crash on another
        upstream is its own, and it is quarantined. Of the entries that had
        attempts in a crash, the one with the first fingerprint tells of it.
        """
        suspect = self._get(fingerprint, now_s)
        was_rerun = suspect is not None and suspect.rerun_id == request_id
        # A neighbour may have told of this crash already.
        if was_rerun and vm_id not in suspect.rerun_avoids:
            return self._quarantine(fingerprint, now_s)
        for one in {fingerprint, *co_suspects}:
            self._suspect(one, vm_id, co_suspects, now_s)
        self._take_over(fingerprint)
        self._leave_to_others(set(co_suspects) - {fingerprint}, now_s + VERDICT_WAIT_S)
        if fingerprint != co_suspects[0]:
            return None
        made_at_s = self._book.wall_time_s(now_s)
        crash = UpstreamCrash(
            vm_id=vm_id, fingerprints=co_suspects, until_s=made_at_s + VERDICT_WAIT_S
        )
        return CrashChange(crash=crash, made_at_s=made_at_s)

    def take_listed(self, configuration: Configuration, now_s: float) -> None:
        """Note crashes that the lists tell of, each of them once."""
        wall_s = self._book.wall_time_s(now_s)
        for crash in configuration.crashes:
            left_s = crash.until_s - wall_s
            if crash not in self._listed and left_s > 0:
                self.take_reported(crash.vm_id, crash.fingerprints, now_s, left_s)
        self._listed = configuration.crashes

    def take_reported(
        self,
        vm_id: str,
        fingerprints: Iterable[str],
        now_s: float,
        wait_s: float = VERDICT_WAIT_S,
    ) -> None:
        """Note suspects that a sidecar tells of, unless known already."""
        for fingerprint in fingerprints:
            if self._get(fingerprint, now_s) is None:
                self._suspect(fingerprint, vm_id, (), now_s)
                self._leave_to_others((fingerprint,), now_s + wait_s)

    def expire(self, now_s: float) -> None:
        """Forget the suspects whose time has come."""
        for fingerprint in tuple(self._suspects):
            self._get(fingerprint, now_s)

    def _quarantine(self, fingerprint: str, now_s: float) -> QuarantineChange:
        self._acquit_neighbours(fingerprint)
        made_at_s = self._book.wall_time_s(now_s)
        self._book.add(fingerprint, made_at_s + QUARANTINE_S)
        return QuarantineChange(
            fingerprint=fingerprint,
            made_at_s=made_at_s,
            until_s=made_at_s + QUARANTINE_S,
        )

    def _acquit_neighbours(self, guilty: str) -> None:
        """Drop the suspects of crashes that ``guilty`` explains."""
        self._suspects = {
            key: suspect
            for key, suspect in self._suspects.items()
            if guilty != key and guilty not in suspect.co_suspects
        }

    def _suspect(
        self, fingerprint: str, vm_id: str, co_suspects: tuple[str, ...], now_s: float
    ) -> None:
        known = self._get(fingerprint, now_s) or SuspectRecord()
        self._suspects[fingerprint] = attrs.evolve(
            known,
            crashed_vms=known.crashed_vms | {vm_id},
            co_suspects=co_suspects or known.co_suspects,
            forget_at_s=now_s + SUSPECT_RETENTION_S,
        )

    def _take_over(self, fingerprint: str) -> None:
        """Wait for no other entry's verdict on a request that crashed here."""
        self._suspects[fingerprint] = attrs.evolve(
            self._suspects[fingerprint], judged_here=True, wait_until_s=float("-inf")
        )

    def _leave_to_others(self, fingerprints: Iterable[str], until_s: float) -> None:
        """Run none of ``fingerprints`` that crashed nothing here until ``until_s``.

        A neighbour in a crash may be another entry's, which judges it.
        """
        for fingerprint in fingerprints:
            suspect = self._suspects[fingerprint]
            if not suspect.judged_here:
                self._suspects[fingerprint] = attrs.evolve(
                    suspect, wait_until_s=max(suspect.wait_until_s, until_s)
                )

    def _get(self, fingerprint: str, now_s: float) -> SuspectRecord | None:
        suspect = self._suspects.get(fingerprint)
        if suspect is None or suspect.forget_at_s > now_s:
            return suspect
        if self._is_served(suspect.rerun_id):
            return suspect
        del self._suspects[fingerprint]
        return None
