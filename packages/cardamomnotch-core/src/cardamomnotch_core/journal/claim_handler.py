"""Claims of request keys by an entry, and handling of their results."""

import attrs

from cardamomnotch_protocol.exceptions import CardamomnotchError
from cardamomnotch_protocol.models import (
    JournalProposal,
    JournalRecord,
    JournalResult,
    Usage,
)
from cardamomnotch_protocol.result_codes import ResultCode

from ..attempts.entry_table import RequestRecord, RequestState, RequestTable
from ..membership.models import Upstream
from ..nodes import actions
from ..nodes.actions import Action
from .const import RETRY_AFTER_S
from .models import ProposalOutcome, RecordState
from .outcomes import call_fingerprint, claim_record, not_run_record, outcome_record


class ClaimEventHandler:
    """Claims a request key before its attempt is sent to an upstream.

    A claim prevents a request that must not be repeated from running twice.
    """

    def __init__(self, requests: RequestTable) -> None:
        self._requests = requests
        self._handlers_by_outcome = {
            ProposalOutcome.GRANTED: self._start_attempt,
            ProposalOutcome.FOUND: self._handle_found,
            ProposalOutcome.EXPIRED: self._refuse_expired,
            ProposalOutcome.UNAVAILABLE: self._refuse_unavailable,
        }
        self._handlers_by_state = {
            RecordState.CLAIMED: self._reattach_to_claimed,
            RecordState.DONE: self._answer_from_journal,
            RecordState.NOT_RUN: self._claim_again,
        }

    def claim(self, record: RequestRecord) -> Action:
        """Return the action that claims the key for the current attempt."""
        self._requests.put(attrs.evolve(record, state=RequestState.CLAIMING))
        upstream = record.route.upstream
        claim = claim_record(record.message, upstream.vm_id, upstream.address)
        return actions.ClaimRequest(
            request_id=record.request.request_id,
            proposal=JournalProposal(record=claim, replaces=record.replaces),
        )

    def handle_result(
        self, record: RequestRecord, result: JournalResult
    ) -> list[Action]:
        """Return the actions that follow from the result of a claim.

        Raises CardamomnotchError if the request must not run.
        """
        return self._handlers_by_outcome[ProposalOutcome(result.outcome)](
            record, result.record
        )

    def _start_attempt(self, record: RequestRecord, _: JournalRecord) -> list[Action]:
        self._requests.put(attrs.evolve(record, state=RequestState.ATTEMPTING))
        upstream = record.route.upstream
        return [
            actions.StartAttempt(
                vm_id=upstream.vm_id,
                address=upstream.address,
                message=record.message,
                below_target=record.route.below_target,
            )
        ]

    def _handle_found(
        self, record: RequestRecord, found: JournalRecord
    ) -> list[Action]:
        if found.attempt_id == record.attempt_id:
            return self._start_attempt(record, found)
        own_fingerprint = call_fingerprint(record.message)
        if found.fingerprint and found.fingerprint != own_fingerprint:
            raise CardamomnotchError(code=ResultCode.KEY_REUSED)
        return self._handlers_by_state[RecordState(found.state)](record, found)

    def _reattach_to_claimed(
        self, record: RequestRecord, found: JournalRecord
    ) -> list[Action]:
        upstream = Upstream(
            vm_id=found.vm_id,
            address=found.address,
            zone="",
            incarnation=found.incarnation,
        )
        message = attrs.evolve(
            record.message, attempt_id=found.attempt_id, incarnation=found.incarnation
        )
        self._requests.put(
            attrs.evolve(
                record,
                state=RequestState.ATTEMPTING,
                attempt_id=found.attempt_id,
                route=attrs.evolve(record.route, upstream=upstream),
                message=message,
            )
        )
        return [actions.ReattachToAttempt(address=found.address, message=message)]

    def _answer_from_journal(
        self, record: RequestRecord, found: JournalRecord
    ) -> list[Action]:
        self._requests.end(record.request.request_id)
        return [
            actions.AnswerFromJournal(
                request_id=record.request.request_id, record=found
            )
        ]

    def _claim_again(self, record: RequestRecord, found: JournalRecord) -> list[Action]:
        return [self.claim(attrs.evolve(record, replaces=found.attempt_id))]

    def _refuse_expired(self, record: RequestRecord, _: JournalRecord) -> list[Action]:
        raise CardamomnotchError(code=ResultCode.KEY_EXPIRED)

    def _refuse_unavailable(
        self, record: RequestRecord, _: JournalRecord
    ) -> list[Action]:
        raise CardamomnotchError(
            code=ResultCode.JOURNAL_UNAVAILABLE, retry_after_s=RETRY_AFTER_S
        )


def outcome_action(record: RequestRecord, code: ResultCode, usage: Usage) -> Action:
    """Return the action that records the outcome of the current attempt."""
    return actions.RecordOutcome(
        request_id=record.request.request_id,
        record=outcome_record(record.message, code, usage),
        idempotent=record.route.idempotent,
        address=record.route.upstream.address,
    )


def not_run_actions(record: RequestRecord) -> list[Action]:
    """Return the actions that record that a claimed request has not run.

    The list is empty if nothing was claimed or the request may have run.
    """
    has_claim = record.replaces and record.message and not record.message.idempotent
    if not has_claim or record.maybe_ran:
        return []
    message = attrs.evolve(record.message, attempt_id=record.replaces)
    return [
        actions.RecordOutcome(
            request_id=record.request.request_id,
            record=not_run_record(message),
            idempotent=False,
        )
    ]
