"""Client of a plain HTTP service."""

import uuid

import aiohttp

from cardamomnotch_protocol.models import AttemptRequest, Usage
from cardamomnotch_protocol.result_codes import ResultCode

from ..answer_buffer import AnswerBuffer
from ..const import HEADER_REQUEST_ID
from .models import CallResult, UpstreamError, UpstreamReport
from .transport import call_timeout, upstream_errors

_HEADER_IDEMPOTENCY_KEY = "Idempotency-Key"


class PlainServiceClient:
    """Passes a call through, and its whole answer back."""

    def __init__(
        self, session: aiohttp.ClientSession, url: str, silence_s: float
    ) -> None:
        self._session = session
        self._url = url.rstrip("/")
        self._silence_s = silence_s
        # A plain service tells no start id; the gate's own life stands for it.
        self._start_id = uuid.uuid4().hex

    async def async_fetch_report(self) -> UpstreamReport:
        """Return a report without load; plain services tell none."""
        return UpstreamReport(start_id=self._start_id)

    async def async_call(
        self, request: AttemptRequest, body: bytes, buffer: AnswerBuffer
    ) -> CallResult:
        """Run a call of the service."""
        headers = {
            **request.headers,
            HEADER_REQUEST_ID: request.attempt_id,
            _HEADER_IDEMPOTENCY_KEY: request.request_key,
        }
        with upstream_errors():
            async with self._session.request(
                request.method,
                self._url + request.path,
                data=body,
                headers=headers,
                timeout=call_timeout(request.timeout_ms, self._silence_s),
            ) as response:
                echoed = response.headers.get(HEADER_REQUEST_ID, request.attempt_id)
                if echoed != request.attempt_id:
                    response.close()
                    raise UpstreamError(code=ResultCode.CROSSED_ANSWER)
                answer = await response.read()
                content_type = response.headers.get("Content-Type", "")
                status = response.status
        buffer.set_head(status, {"Content-Type": content_type})
        buffer.append(answer)
        return CallResult(usage=Usage())
