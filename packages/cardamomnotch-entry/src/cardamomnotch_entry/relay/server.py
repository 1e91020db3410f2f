"""HTTP request handler for callers."""

import asyncio
import logging
import math
from collections.abc import Callable

import attrs
from aiohttp import HttpVersion11, hdrs, web

from cardamomnotch_core.relay.exceptions import RefusalError
from cardamomnotch_core.relay.node import RelayNode
from cardamomnotch_protocol.exceptions import CardamomnotchError, InternalError
from cardamomnotch_protocol.result_codes import ResultCode, describe
from cardamomnotch_runtime.responses import error_body, json_response
from cardamomnotch_runtime.socket_queues import reset_on_close
from cardamomnotch_runtime.structured_log import log_event, secret_digest

from .const import MAX_LOGGED_PATH_CHARS, RETRY_AFTER_DECIMALS
from .exceptions import ResponseTruncatedError, UpstreamFailureError
from .forwarder import Forwarder
from .interfaces import MessageCodec
from .metrics import RelayMetrics
from .models import CallerRequest
from .upstream_client import UpstreamClient

_LOGGER = logging.getLogger(__name__)
# HTTP statuses of the relay that differ from the protocol's: a client error
# would mean that the request can never succeed. It has not run, and is tried
# again after a while.
_STATUS_OVERRIDES = {
    ResultCode.REQUEST_QUARANTINED: 503,
    ResultCode.INVALID_CONFIGURATION: 503,
}
# Retry-After of a process that has no routes yet, in seconds.
_NOT_READY_RETRY_AFTER_S = 0.5
# Retry-After of an entry that is stopping, in seconds: the caller's next connection
# reaches another one.
_DRAINING_RETRY_S = 0.05
# The only transfer coding of a request's body that is removed.
_CHUNKED = "chunked"
# Status in the log when the caller disconnected before the response.
_STATUS_CLIENT_CLOSED_REQUEST = 499


class RelayServer:
    """Handles callers' requests; a Forwarder serves each one."""

    def __init__(
        self,
        *,
        node: RelayNode,
        client: UpstreamClient,
        codec: MessageCodec,
        clock: Callable[[], float],
        metrics: RelayMetrics,
    ) -> None:
        self._node = node
        self._client = client
        self._codec = codec
        self._clock = clock
        self._metrics = metrics
        self._in_flight = 0
        self._is_draining = False
        self._is_refusing = False
        self._forwarders: set[Forwarder] = set()

    @property
    def in_flight(self) -> int:
        """Return the number of requests that are being served."""
        return self._in_flight

    def start_draining(self) -> None:
        """Close each connection after its response from now on."""
        self._is_draining = True

    def refuse_requests(self) -> None:
        """Refuse each new request from now on."""
        self._is_refusing = True

    def end_requests(self) -> None:
        """End the requests that are being served, as at their deadlines."""
        for forwarder in tuple(self._forwarders):
            forwarder.end()

    async def async_handle(self, http_request: web.BaseRequest) -> web.StreamResponse:
        """Handle one request and log its end."""
        arrived_at_s = self._clock()
        self._in_flight += 1
        forwarder: Forwarder | None = None
        request: CallerRequest | None = None
        code: ResultCode | None = ResultCode.CALLER_GONE
        detail = ""
        response: web.StreamResponse | None = None
        try:
            if not http_request.content.is_eof():
                request = self._decode_head(http_request)
                self._check_head(request, http_request.content_length)
            refusal = _framing_refusal(http_request)
            if refusal is not None:
                request = self._decode_head(http_request)
                raise refusal
            body = await self._async_read_body(http_request)
            if self._is_refusing:
                raise RefusalError(
                    ResultCode.DRAINING, "the entry is stopping", _DRAINING_RETRY_S
                )
            request = self._codec.decode_request(
                http_request.method, http_request.raw_path, http_request.headers, body
            )
            forwarder = Forwarder(
                node=self._node,
                client=self._client,
                codec=self._codec,
                clock=self._clock,
                http_request=http_request,
                request=request,
                body=body,
                arrived_at_s=arrived_at_s,
            )
            self._forwarders.add(forwarder)
            response = await forwarder.async_serve()
            code = ResultCode.OK
        except UpstreamFailureError as error:
            code, response = error.code, error.response
        except ResponseTruncatedError as error:
            code, detail = error.code, error.detail
            response = self._abort_response(http_request, forwarder)
        except ConnectionError as error:
            # The caller disconnected during its response.
            detail = type(error).__name__
            response = self._abort_response(http_request, forwarder)
        except CardamomnotchError as error:
            code, detail = error.code, error.detail
            response = self._refusal_response(error, request)
        except Exception as error:
            _LOGGER.exception("request failed unexpectedly")
            code, detail = ResultCode.INTERNAL_ERROR, type(error).__name__
            response = self._failure_response(http_request, forwarder, request)
        finally:
            self._in_flight -= 1
            self._forwarders.discard(forwarder)
            self._record_end(forwarder, request, code, detail, response, arrived_at_s)
        if not http_request.content.at_eof():
            # The rest of the body must not be parsed as another request.
            response.force_close()
            return response
        if self._is_draining or code is ResultCode.NOT_READY:
            # The caller's next connection may reach an entry that is ready.
            response.force_close()
        return response

    def _decode_head(self, http_request: web.BaseRequest) -> CallerRequest:
        """Return a request whose body has not arrived.

        It has no fingerprint yet, and no prompt, which many callers that send no body
        would make the process hold.
        """
        request = self._codec.decode_request(
            http_request.method, http_request.raw_path, http_request.headers, b""
        )
        facts = attrs.evolve(
            request.facts, fingerprint="", prompt=(), suspects=frozenset()
        )
        return attrs.evolve(request, facts=facts)

    def _check_head(self, request: CallerRequest, length: int | None) -> None:
        """Refuse by its head a request whose body has not arrived yet.

        Raises RefusalError as the forwarder would once it has the body.
        """
        document = self._node.routes.document
        if document is None:
            return
        if length is not None and length > document.limits.max_body_bytes:
            raise RefusalError(
                ResultCode.BODY_TOO_LARGE, "the request body is larger than the limit"
            )
        now_s = self._clock()
        try:
            route = self._node.routes.find(request.host, request.path, now_s)
            self._node.routes.authorize(route, request.api_key, now_s)
        except RefusalError as refusal:
            if refusal.code is ResultCode.NOT_READY:
                refusal.retry_after_s = self._node.attempts.stale_retry_s(now_s)
            raise

    async def _async_read_body(self, http_request: web.BaseRequest) -> bytes:
        document = self._node.routes.document
        if document is None:
            raise RefusalError(
                ResultCode.NOT_READY,
                "no routes have been read yet",
                _NOT_READY_RETRY_AFTER_S,
            )
        limits = document.limits
        content = http_request.content
        parts: list[bytes] = []
        size = 0
        while not content.at_eof():
            try:
                async with asyncio.timeout(limits.idle_timeout_s):
                    data = await content.readany()
            except TimeoutError as error:
                raise RefusalError(
                    ResultCode.REQUEST_TOO_SLOW,
                    "no data of the request body within the idle timeout",
                ) from error
            parts.append(data)
            size += len(data)
            if size > limits.max_body_bytes:
                raise RefusalError(
                    ResultCode.BODY_TOO_LARGE,
                    "the request body is larger than the limit",
                )
        return b"".join(parts)

    def _refusal_response(
        self, error: CardamomnotchError, request: CallerRequest | None
    ) -> web.Response:
        status = _STATUS_OVERRIDES.get(
            error.code, int(describe(error.code).http_status)
        )
        response = json_response(error_body(error), status=status)
        if error.retry_after_s is not None:
            value = f"{error.retry_after_s:.{RETRY_AFTER_DECIMALS}f}"
            response.headers["Retry-After"] = value
        if request is not None:
            response.headers.update(self._codec.refusal_headers(request))
        return response

    def _failure_response(
        self,
        http_request: web.BaseRequest,
        forwarder: Forwarder | None,
        request: CallerRequest | None,
    ) -> web.StreamResponse:
        """Return the response to a request that failed unexpectedly."""
        if forwarder is not None and forwarder.response is not None:
            return self._abort_response(http_request, forwarder)
        response = self._refusal_response(InternalError(), request)
        response.force_close()
        return response

    def _abort_response(
        self, http_request: web.BaseRequest, forwarder: Forwarder
    ) -> web.StreamResponse:
        """End the connection, so that the response looks incomplete."""
        if http_request.transport is not None:
            if http_request.version < HttpVersion11:
                # Such a response ends with its connection, unless it is reset.
                reset_on_close(http_request.transport)
            http_request.transport.close()
        if forwarder is None or forwarder.response is None:
            return web.Response(status=_STATUS_CLIENT_CLOSED_REQUEST)
        return forwarder.response

    def _record_end(
        self,
        forwarder: Forwarder | None,
        request: CallerRequest | None,
        code: ResultCode,
        detail: str,
        response: web.StreamResponse | None,
        arrived_at_s: float,
    ) -> None:
        now_s = self._clock()
        seconds = now_s - arrived_at_s
        route = forwarder.route if forwarder else None
        document_age_s = now_s - self._node.routes.confirmed_at_s
        self._metrics.count_request(code, seconds, document_age_s)
        for log in forwarder.attempts if forwarder else ():
            self._metrics.count_attempt(route.name if route else "", log)
        if forwarder and forwarder.model_selection:
            self._metrics.count_model_choice(forwarder.model_selection.decision.reason)
        queued_s = forwarder.queued_s if forwarder else 0.0
        queue_reason = forwarder.queue_reason if forwarder else ""
        self._metrics.count_queued(queued_s, queue_reason)
        log_event(
            _LOGGER,
            "request ended",
            request=request.facts.request_id if request else "",
            code=int(code),
            result=code.name.lower(),
            detail=detail,
            status=response.status if response is not None else 0,
            route=route.name if route else "",
            workspace=forwarder.workspace.name
            if forwarder and forwarder.workspace
            else "",
            ms=int(seconds * 1000),
            queued_ms=int(queued_s * 1000),
            queue_reason=queue_reason,
            allowed_ms=forwarder.allowed_ms if forwarder else 0,
            document=self._node.routes.version,
            document_age_ms=_document_age_ms(document_age_s),
            session=request.facts.session if request else "",
            fingerprint=request.facts.fingerprint if request else "",
            prompt=[part.part_id for part in request.facts.prompt] if request else [],
            attempts=[log.as_dict() for log in forwarder.attempts] if forwarder else [],
            **_model_choice_fields(forwarder),
            **_refused_request_fields(code, request),
        )


def _framing_refusal(http_request: web.BaseRequest) -> RefusalError | None:
    """Return the refusal of a request that cannot be forwarded unchanged.

    These are a tunnel, and a body in a transfer coding that is lost with its header.
    """
    detail = ""
    if http_request.method == hdrs.METH_CONNECT:
        detail = "the method CONNECT is not supported"
    coding = http_request.headers.get(hdrs.TRANSFER_ENCODING, _CHUNKED)
    if coding.strip().lower() != _CHUNKED:
        detail = "Transfer-Encoding must be chunked"
    return RefusalError(ResultCode.INVALID_REQUEST, detail) if detail else None


def _document_age_ms(age_s: float) -> int:
    """Return an age in milliseconds; -1 without a confirmed route document."""
    return int(age_s * 1000) if math.isfinite(age_s) else -1


def _model_choice_fields(forwarder: Forwarder | None) -> dict[str, object]:
    """Return log fields with the last decision on the model, and its inputs."""
    if forwarder is None or forwarder.model_selection is None:
        return {}
    decision = forwarder.model_selection.decision
    shortage = decision.shortage
    return {
        "model_choice": decision.reason.value,
        "shortage": round(shortage.value, 3),
        "shortage_wait_ms": int(shortage.wait_ms),
        "shortage_pause": round(shortage.pause_fraction, 2),
        "shortage_age_ms": int(shortage.age_s * 1000),
        "retry_budget_used": round(shortage.budget_share, 3),
    }


def _refused_request_fields(
    code: ResultCode | None, request: CallerRequest | None
) -> dict[str, str]:
    """Return log fields with the key or path that caused a refusal."""
    if request is None:
        return {}
    if code is ResultCode.UNKNOWN_KEY:
        return {"key": secret_digest(request.api_key or "")}
    if code is ResultCode.UNKNOWN_ROUTE:
        return {"host": request.host, "path": request.path[:MAX_LOGGED_PATH_CHARS]}
    return {}
