"""Claims non-idempotent requests in the journal."""

from cardamomnotch_core.journal.models import ProposalOutcome
from cardamomnotch_core.journal.outcomes import partition_of_record
from cardamomnotch_core.nodes import actions, events
from cardamomnotch_protocol.models import JournalResult
from cardamomnotch_runtime.runner import NodeRunner
from cardamomnotch_runtime.tasks import TaskGroup

from .client import JournalClient
from .exceptions import JournalUnavailableError


class ClaimHandler:
    """Proposes claims to the journal and reports the results to the node."""

    def __init__(
        self, client: JournalClient, runner: NodeRunner, tasks: TaskGroup
    ) -> None:
        self._client = client
        self._runner = runner
        self._tasks = tasks
        runner.register(actions.ClaimRequest, self._claim)

    def _claim(self, action: actions.ClaimRequest) -> None:
        self._tasks.start(self._async_claim(action))

    async def _async_claim(self, action: actions.ClaimRequest) -> None:
        record = action.proposal.record
        partition = partition_of_record(record, idempotent=False)
        try:
            results = await self._client.async_propose(
                partition, (action.proposal,), wait_for_commit=True
            )
        except JournalUnavailableError:
            results = (JournalResult(outcome=ProposalOutcome.UNAVAILABLE.value),)
        self._runner.dispatch(
            events.ClaimAnswered(
                request_id=action.request_id,
                attempt_id=record.attempt_id,
                result=results[0],
            )
        )
