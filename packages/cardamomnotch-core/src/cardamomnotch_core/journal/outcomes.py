"""Records of attempts, as entries and sidecars write them."""

import base64
import hashlib

import attrs

from cardamomnotch_protocol.models import AttemptRequest, JournalRecord, Usage
from cardamomnotch_protocol.result_codes import ResultCode

from .const import MAX_STORED_ANSWER_BYTES
from .keys import partition_of, record_key
from .models import PartitionId, PartitionKind, RecordState


def claim_record(request: AttemptRequest, vm_id: str, address: str) -> JournalRecord:
    """Return the claim that must be committed before the attempt leaves."""
    return attrs.evolve(
        _record_of(request, RecordState.CLAIMED),
        fingerprint=call_fingerprint(request),
        vm_id=vm_id,
        address=address,
        incarnation=request.incarnation,
    )


def outcome_record(
    request: AttemptRequest, code: ResultCode, usage: Usage
) -> JournalRecord:
    """Return the outcome of an attempt that has started.

    A call that may not be repeated and has failed has an unknown effect.
    """
    if code is not ResultCode.OK and not request.idempotent:
        code = ResultCode.OUTCOME_UNKNOWN
    record = attrs.evolve(_record_of(request, RecordState.DONE), code=code, usage=usage)
    if request.idempotent:
        return record
    return attrs.evolve(record, fingerprint=call_fingerprint(request))


def not_run_record(request: AttemptRequest) -> JournalRecord:
    """Return the record of an attempt that never started."""
    return _record_of(request, RecordState.NOT_RUN)


def with_answer(
    record: JournalRecord, status: int, content_type: str, answer: bytes
) -> JournalRecord:
    """Return ``record`` with the answer, or its size alone if it is long."""
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
    """Return the answer, or None if it was too long to be stored."""
    answer = base64.b64decode(record.answer)
    return answer if len(answer) == record.answer_bytes else None


def partition_of_record(record: JournalRecord, *, idempotent: bool) -> PartitionId:
    """Return the partition that ``record`` belongs to."""
    kind = PartitionKind.BILLS if idempotent else PartitionKind.CLAIMS
    return partition_of(kind, record.key)


def call_fingerprint(request: AttemptRequest) -> str:
    """Return a digest of method, path and body."""
    text = f"{request.method} {request.path} {request.fingerprint}"
    return hashlib.sha256(text.encode()).hexdigest()[:32]


def _record_of(request: AttemptRequest, state: RecordState) -> JournalRecord:
    fingerprint = request.fingerprint if request.idempotent else ""
    return JournalRecord(
        key=record_key(request.request_key, fingerprint),
        workspace=request.workspace,
        state=state.value,
        attempt_id=request.attempt_id,
    )
