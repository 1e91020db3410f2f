"""Client of a plain HTTP service, which is not a model engine."""

import uuid

import aiohttp

from cardamomnotch_protocol.models import AttemptRequest, Usage
from cardamomnotch_protocol.result_codes import ResultCode

from ..answer_buffer import AnswerBuffer
from ..const import HEADER_REQUEST_ID
from .models import CallResult, UpstreamError, UpstreamReport
from .transport import (
    async_read_body,
    call_timeout,
    forwarded_header,
    translate_errors,
)

_HEADER_IDEMPOTENCY_KEY = "Idempotency-Key"


class PlainServiceClient:
    """Forwards calls to a plain HTTP service.

    Each response is read completely before it is passed on.
    """

    def __init__(
        self, session: aiohttp.ClientSession, url: str, read_timeout_s: float
    ) -> None:
        self._session = session
        self._url = url.rstrip("/")
        self._read_timeout_s = read_timeout_s
        # A plain service reports no start id, so an id of this sidecar's run
        # takes its place.
        self._start_id = uuid.uuid4().hex

    async def async_fetch_report(self) -> UpstreamReport:
        """Return a report without load, since plain services report none."""
        return UpstreamReport(start_id=self._start_id)

    async def async_call(
        self, request: AttemptRequest, body: bytes, buffer: AnswerBuffer
    ) -> CallResult:
        """Forward a call and put the service's response into ``buffer``."""
        headers = {
            **request.headers,
            HEADER_REQUEST_ID: request.attempt_id,
            _HEADER_IDEMPOTENCY_KEY: request.request_key,
        }
        with translate_errors():
            async with self._session.request(
                request.method,
                self._url + request.path,
                data=body,
                headers=headers,
                timeout=call_timeout(request.timeout_ms, self._read_timeout_s),
            ) as response:
                echoed_id = response.headers.get(HEADER_REQUEST_ID, request.attempt_id)
                if echoed_id != request.attempt_id:
                    response.close()
                    raise UpstreamError(code=ResultCode.CROSSED_ANSWER)
                content_type = forwarded_header(response, "Content-Type")
                answer = await async_read_body(response)
                status = response.status
        buffer.set_head(status, {"Content-Type": content_type})
        buffer.append(answer)
        return CallResult(usage=Usage())
