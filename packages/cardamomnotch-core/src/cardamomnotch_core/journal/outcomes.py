"""Journal records of attempts, as written by entries and sidecars."""

import base64
import hashlib

import attrs

from cardamomnotch_protocol.models import AttemptRequest, JournalRecord, Usage
from cardamomnotch_protocol.result_codes import ResultCode

from .const import MAX_STORED_ANSWER_BYTES
from .keys import partition_of, record_key
from .models import PartitionId, PartitionKind, RecordState


def claim_record(request: AttemptRequest, vm_id: str, address: str) -> JournalRecord:
    """Return the claim, which must be committed before the attempt is sent."""
    return attrs.evolve(
        _new_record(request, RecordState.CLAIMED),
        fingerprint=call_fingerprint(request),
        vm_id=vm_id,
        address=address,
        incarnation=request.incarnation,
    )


def outcome_record(
    request: AttemptRequest, code: ResultCode, usage: Usage
) -> JournalRecord:
    """Return the outcome of an attempt that has started.

    The outcome of a failed call that is not idempotent is unknown.
    """
    if code is not ResultCode.OK and not request.idempotent:
        code = ResultCode.OUTCOME_UNKNOWN
    record = attrs.evolve(
        _new_record(request, RecordState.DONE), code=code, usage=usage
    )
    if request.idempotent:
        return record
    return attrs.evolve(record, fingerprint=call_fingerprint(request))


def not_run_record(request: AttemptRequest) -> JournalRecord:
    """Return the record of an attempt that never started."""
    return _new_record(request, RecordState.NOT_RUN)


def with_answer(
    record: JournalRecord, status: int, content_type: str, answer: bytes
) -> JournalRecord:
    """Return ``record`` with the response, whose body is left out if too long.

    The size of the body is recorded in either case.
    """
    text = ""
    if len(answer) <= MAX_STORED_ANSWER_BYTES:
        text = base64.b64encode(answer).decode()
    return attrs.evolve(
        record,
        status=status,
        content_type=content_type,
        answer=text,
        answer_bytes=len(answer),
    )


def stored_answer(record: JournalRecord) -> bytes | None:
    """Return the stored response body; None if it was too long to store."""
    answer = base64.b64decode(record.answer)
    return answer if len(answer) == record.answer_bytes else None


def partition_of_record(record: JournalRecord, *, idempotent: bool) -> PartitionId:
    """Return the partition that holds ``record``."""
    kind = PartitionKind.BILLS if idempotent else PartitionKind.CLAIMS
    return partition_of(kind, record.key)


def call_fingerprint(request: AttemptRequest) -> str:
    """Return a digest of the request's method, path and body."""
    text = f"{request.method} {request.path} {request.fingerprint}"
    return hashlib.sha256(text.encode()).hexdigest()[:32]


def _new_record(request: AttemptRequest, state: RecordState) -> JournalRecord:
    fingerprint = request.fingerprint if request.idempotent else ""
    return JournalRecord(
        key=record_key(request.request_key, fingerprint),
        workspace=request.workspace,
        state=state.value,
        attempt_id=request.attempt_id,
    )
