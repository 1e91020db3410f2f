"""Client of a model engine with a chat-completions API."""

import contextlib
import time

import aiohttp
import orjson

from cardamomnotch_protocol.exceptions import SchemaError
from cardamomnotch_protocol.models import AttemptRequest, EnginePlacement
from cardamomnotch_protocol.result_codes import ResultCode
from cardamomnotch_protocol.schema import strict_converter, structure
from cardamomnotch_runtime.response_memory import ResponseMemory
from cardamomnotch_runtime.upstream_session import hold_response

from ..answer_buffer import AnswerBuffer
from ..const import HEADER_REQUEST_ID, MAX_COUNT
from .models import CallResult, UpstreamError, UpstreamReport
from .sse import CompletionStream, usage_from_json
from .transport import (
    async_read_body,
    call_timeout,
    check_codings,
    retry_after_s,
    translate_errors,
)

_COMPLETIONS_PATH = "/v1/chat/completions"
_LOAD_PATH = "/load"
_ORDERS_PATH = "/orders"
_BUSY_STATUSES = frozenset((429, 503))
# Loading weights takes long. If the response is lost, the next load report
# shows which versions were loaded.
_ORDER_TIMEOUT = aiohttp.ClientTimeout(total=600.0, sock_connect=1.0)
_CONVERTER = strict_converter(forbid_extra_keys=False)
_REPORT_TIMEOUT = aiohttp.ClientTimeout(total=2.0)


class EngineClient:
    """Calls a model engine.

    Each answer is checked to be complete and to belong to its request.
    """

    def __init__(
        self,
        session: aiohttp.ClientSession,
        url: str,
        read_timeout_s: float,
        memory: ResponseMemory,
    ) -> None:
        self._session = session
        self._memory = memory
        self._url = url.rstrip("/")
        self._read_timeout_s = read_timeout_s

    async def async_fetch_report(self) -> UpstreamReport:
        """Return the engine's load report."""
        with translate_errors():
            async with self._session.get(
                self._url + _LOAD_PATH, timeout=_REPORT_TIMEOUT
            ) as response:
                return _parse_report(await async_read_body(response))

    async def async_send_order(self, placement: EnginePlacement) -> None:
        """Order the engine to load exactly the versions of ``placement``.

        The engine's next load report shows whether it has done so.
        """
        order = {"fencing": placement.fencing, "versions": placement.versions}
        with translate_errors():
            async with self._session.post(
                self._url + _ORDERS_PATH,
                data=orjson.dumps(order),
                headers={"Content-Type": "application/json"},
                timeout=_ORDER_TIMEOUT,
            ) as response:
                await async_read_body(response)

    async def async_call(
        self, request: AttemptRequest, body: bytes, buffer: AnswerBuffer
    ) -> CallResult:
        """Request a completion and put its answer into ``buffer``.

        Raises UpstreamError if the answer is incomplete.
        """
        started_at_s = time.monotonic()
        with translate_errors():
            async with self._session.post(
                self._url + _COMPLETIONS_PATH,
                data=_engine_body(request, body),
                headers={
                    HEADER_REQUEST_ID: request.attempt_id,
                    "Content-Type": "application/json",
                },
                timeout=call_timeout(request.timeout_ms, self._read_timeout_s),
            ) as response:
                _check_response_head(request, response)
                if request.stream and response.status == 200:
                    return await self._async_read_stream(response, buffer, started_at_s)
                answer = await async_read_body(response)
                return _store_completion(answer, response.status, buffer, started_at_s)

    async def _async_read_stream(
        self,
        response: aiohttp.ClientResponse,
        buffer: AnswerBuffer,
        started_at_s: float,
    ) -> CallResult:
        check_codings(response)
        stream = CompletionStream()
        first_token_ms = 0.0
        buffer.set_head(response.status, {"Content-Type": "text/event-stream"})
        with contextlib.closing(hold_response(self._memory, response)) as held:
            async for data in response.content.iter_any():
                for event in stream.feed(data):
                    first_token_ms = first_token_ms or _elapsed_ms(started_at_s)
                    buffer.append(event)
                held.record(stream.pending_bytes)
        if not stream.is_complete:
            raise UpstreamError(code=ResultCode.SHORT_ANSWER)
        return CallResult(usage=stream.usage, first_token_ms=first_token_ms)


def _parse_report(body: bytes) -> UpstreamReport:
    try:
        report = structure(_CONVERTER, orjson.loads(body), UpstreamReport)
    except (orjson.JSONDecodeError, SchemaError) as error:
        raise UpstreamError(
            f"invalid load report: {error}", code=ResultCode.UPSTREAM_FAILED
        ) from error
    if not (0 <= report.waiting <= MAX_COUNT and 0 <= report.fencing <= MAX_COUNT):
        raise UpstreamError(
            f"invalid load report: a count is not between 0 and {MAX_COUNT}",
            code=ResultCode.UPSTREAM_FAILED,
        )
    return report


def _engine_body(request: AttemptRequest, body: bytes) -> bytes:
    data = orjson.loads(body)
    data["model"] = f"{request.model}/{request.version}"
    data["priority"] = request.priority
    if request.stream:
        data["stream_options"] = {"include_usage": True}
    return orjson.dumps(data)


def _check_response_head(
    request: AttemptRequest, response: aiohttp.ClientResponse
) -> None:
    echoed_id = response.headers.get(HEADER_REQUEST_ID, request.attempt_id)
    if echoed_id != request.attempt_id:
        response.close()
        raise UpstreamError(code=ResultCode.CROSSED_ANSWER)
    if response.status in _BUSY_STATUSES:
        raise UpstreamError(
            "engine refused the request: busy",
            code=ResultCode.UPSTREAM_FULL,
            started=False,
            retry_after_s=retry_after_s(response),
        )
    if response.status >= 500:
        raise UpstreamError(
            f"engine failed with HTTP status {response.status}",
            code=ResultCode.UPSTREAM_FAILED,
        )


def _store_completion(
    answer: bytes, status: int, buffer: AnswerBuffer, started_at_s: float
) -> CallResult:
    try:
        usage = usage_from_json(orjson.loads(answer))
    except (AttributeError, TypeError, ValueError) as error:
        raise UpstreamError(
            "engine response is not a completion", code=ResultCode.SHORT_ANSWER
        ) from error
    buffer.set_head(status, {"Content-Type": "application/json"})
    buffer.append(answer)
    return CallResult(usage=usage, first_token_ms=_elapsed_ms(started_at_s))


def _elapsed_ms(started_at_s: float) -> float:
    return (time.monotonic() - started_at_s) * 1000
