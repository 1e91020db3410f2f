"""Results, errors and interface of upstream clients."""

from typing import Protocol

import attrs

from cardamomnotch_protocol.exceptions import CardamomnotchError
from cardamomnotch_protocol.models import AttemptRequest, Usage
from cardamomnotch_protocol.result_codes import ResultCode

from ..answer_buffer import AnswerBuffer


@attrs.frozen(kw_only=True)
class CallResult:
    """Token usage and timing of a complete answer."""

    usage: Usage = Usage()
    first_token_ms: float = 0.0


@attrs.frozen(kw_only=True)
class UpstreamReport:
    """An upstream's report about itself.

    ``start_id`` changes with each start of the upstream, ``waiting`` is the
    number of queued requests, ``fencing`` the highest fencing number of the
    placement orders that it has accepted.
    """

    start_id: str = ""
    waiting: int = 0
    versions: tuple[str, ...] = ()
    fencing: int = 0


class UpstreamError(CardamomnotchError):
    """A call to the upstream failed.

    ``started`` is whether the upstream may have run the request,
    ``connection_lost`` whether the connection broke or was refused.
    """

    code = ResultCode.UPSTREAM_FAILED

    def __init__(
        self,
        detail: str = "",
        *,
        code: ResultCode,
        started: bool = True,
        connection_lost: bool = False,
        retry_after_s: float | None = None,
    ) -> None:
        self.started = started
        self.connection_lost = connection_lost
        super().__init__(detail, code=code, retry_after_s=retry_after_s)


class UpstreamClient(Protocol):
    """Interface of the clients for each kind of upstream."""

    async def async_call(
        self, request: AttemptRequest, body: bytes, buffer: AnswerBuffer
    ) -> CallResult:
        """Run the request and put its answer into ``buffer``.

        Raises UpstreamError if the answer is incomplete.
        """

    async def async_fetch_report(self) -> UpstreamReport:
        """Return the upstream's report about itself.

        Raises UpstreamError if the upstream does not respond.
        """
