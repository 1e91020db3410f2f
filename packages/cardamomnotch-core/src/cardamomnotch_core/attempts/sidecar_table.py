"""State of the attempts that a sidecar has started or fenced."""

from enum import StrEnum

import attrs

from cardamomnotch_protocol.models import Usage
from cardamomnotch_protocol.result_codes import ResultCode

from .const import ATTEMPT_RETENTION_S, FENCE_RETENTION_S


class AttemptState(StrEnum):
    """State of an attempt at its sidecar."""

    NEVER_STARTED = "never_started"
    RUNNING = "running"
    FINISHED = "finished"
    UNKNOWN = "unknown"


@attrs.frozen(kw_only=True)
class AttemptRecord:
    """State and outcome of an attempt at its sidecar."""

    attempt_id: str
    state: AttemptState
    code: ResultCode = ResultCode.OK
    usage: Usage = Usage()
    forget_at_s: float = float("inf")


class AttemptTable:
    """Records attempts so that none starts twice or after it was fenced."""

    def __init__(self) -> None:
        self._records: dict[str, AttemptRecord] = {}

    @property
    def running_ids(self) -> tuple[str, ...]:
        """Return the ids of the running attempts."""
        return tuple(
            record.attempt_id
            for record in self._records.values()
            if record.state is AttemptState.RUNNING
        )

    def __len__(self) -> int:
        return len(self._records)

    def get(self, attempt_id: str) -> AttemptRecord | None:
        """Return the record of ``attempt_id``; None if it is not known."""
        return self._records.get(attempt_id)

    def start(self, attempt_id: str) -> None:
        """Record that the attempt is running."""
        self._records[attempt_id] = AttemptRecord(
            attempt_id=attempt_id, state=AttemptState.RUNNING
        )

    def finish(
        self, attempt_id: str, code: ResultCode, usage: Usage, now_s: float
    ) -> None:
        """Record how the attempt ended."""
        self._records[attempt_id] = AttemptRecord(
            attempt_id=attempt_id,
            state=AttemptState.FINISHED,
            code=code,
            usage=usage,
            forget_at_s=now_s + ATTEMPT_RETENTION_S,
        )

    def fence(self, attempt_id: str, now_s: float) -> AttemptRecord:
        """Return the attempt's record.

        An attempt that is not known yet is recorded so that it never starts.
        """
        known = self._records.get(attempt_id)
        if known is not None:
            return known
        record = AttemptRecord(
            attempt_id=attempt_id,
            state=AttemptState.NEVER_STARTED,
            forget_at_s=now_s + FENCE_RETENTION_S,
        )
        self._records[attempt_id] = record
        return record

    def expire(self, now_s: float) -> None:
        """Remove the records whose retention time has passed."""
        self._records = {
            key: record
            for key, record in self._records.items()
            if record.forget_at_s > now_s
        }
