"""Stand-in for a model engine that speaks chat-completions.

Faults: ``crash_on`` (text in the prompt), ``silent_after`` (tokens),
``short_after`` (tokens), ``crossed``, ``refuse``, ``cold_limit`` (collapses
above) until ``warm_after`` answers since the start, ``ignore_fencing``,
``lag_s`` of the load report, ``token_s``.

Its own record: ``most_running``, ``most_running_cold``, ``collapses``, and
``priority_<number>`` for each priority seen.
"""

import asyncio
import time
import uuid
from typing import Any

import orjson
from aiohttp import web

from .faults import Faults, async_silence

_DEFAULT_TOKENS = 8
# A collapsed engine takes this many times as long for each token.
_COLLAPSE_SLOWDOWN = 10


class EngineStandIn:
    """Answers with a fixed number of words, one a token."""

    def __init__(
        self,
        versions: list[str],
        token_s: float = 0.002,
        faults: dict[str, Any] | None = None,
    ) -> None:
        self.faults = Faults()
        self.faults.active.update(faults or {})
        self.versions = list(versions)
        self.start_id = uuid.uuid4().hex
        self._token_s = token_s
        self._running = 0
        self._done_since_start = 0
        self._transports: set[asyncio.Transport] = set()
        self._fencing = 0
        self._reports: list[tuple[float, int]] = []

    def create_app(self) -> web.Application:
        """Return the application."""
        app = web.Application(client_max_size=8 * 1_048_576)
        self.faults.add_routes(app)
        app.router.add_post("/v1/chat/completions", self._async_completion)
        app.router.add_get("/load", self._async_load)
        app.router.add_post("/orders", self._async_order)
        app.router.add_post("/restart", self._async_restart)
        return app

    async def _async_load(self, _: web.Request) -> web.Response:
        now = time.monotonic()
        self._reports.append((now, self._running))
        lag_s = self.faults.get("lag_s") or 0.0
        old = [count for at, count in self._reports if at <= now - lag_s]
        self._reports = [item for item in self._reports if item[0] > now - 60]
        return web.json_response(
            {
                "start_id": self.start_id,
                "waiting": old[-1] if old else 0,
                "versions": self.versions,
                "fencing": self._fencing,
            }
        )

    async def _async_order(self, request: web.Request) -> web.Response:
        order = orjson.loads(await request.read())
        fencing = int(order.get("fencing", 0))
        stale = fencing < self._fencing
        if stale and not self.faults.get("ignore_fencing"):
            self.faults.count("orders_refused")
            return web.json_response({"fencing": self._fencing}, status=409)
        self._fencing = max(self._fencing, fencing)
        self.versions = list(order["versions"])
        self.faults.count("orders_done")
        return web.json_response({"versions": self.versions})

    async def _async_restart(self, _: web.Request) -> web.Response:
        self.restart()
        return web.json_response({"start_id": self.start_id})

    def restart(self) -> None:
        """Start over cold, as after a crash; every connection breaks."""
        self.start_id = uuid.uuid4().hex
        self._done_since_start = 0
        self._running = 0
        for transport in self._transports:
            transport.abort()
        self.faults.count("crashes")

    def turn_cold(self) -> None:
        """Become cold without a restart, and without a word."""
        self._done_since_start = 0

    async def _async_completion(self, request: web.Request) -> web.StreamResponse:
        body = orjson.loads(await request.read())
        request_id = request.headers.get("X-Request-Id", "")
        if self.faults.use("refuse"):
            return web.json_response({"error": "busy"}, status=503)
        if body["model"] not in self.versions:
            return web.json_response({"error": "model not loaded"}, status=404)
        self._check_crash(request, body)
        self.faults.count("started")
        self.faults.count(f"priority_{body.get('priority', 0)}")
        self._running += 1
        self._note_concurrency()
        self._transports.add(request.transport)
        transport, start_id = request.transport, self.start_id
        try:
            answer = await self._async_answer(request, body, request_id)
            self._done_since_start += start_id == self.start_id
            return answer
        finally:
            self._transports.discard(transport)
            # A restart has set the count to zero already.
            self._running -= start_id == self.start_id

    def _note_concurrency(self) -> None:
        most = max(self.faults.counts.get("most_running", 0), self._running)
        self.faults.counts["most_running"] = most
        if not self._is_cold:
            return
        most_cold = max(self.faults.counts.get("most_running_cold", 0), self._running)
        self.faults.counts["most_running_cold"] = most_cold
        if self._running > self.faults.get("cold_limit"):
            self.faults.count("collapses")

    @property
    def _is_cold(self) -> bool:
        if not self.faults.get("cold_limit"):
            return False
        warm_after = self.faults.get("warm_after")
        return warm_after is None or self._done_since_start < warm_after

    def _check_crash(self, request: web.Request, body: dict[str, Any]) -> None:
        text = self.faults.get("crash_on")
        if text and text in orjson.dumps(body["messages"]).decode():
            self.restart()
            request.transport.abort()
            raise web.HTTPInternalServerError

    async def _async_answer(
        self, request: web.Request, body: dict[str, Any], request_id: str
    ) -> web.StreamResponse:
        echoed = "another-request" if self.faults.use("crossed") else request_id
        headers = {"X-Request-Id": echoed}
        count = int(body.get("max_tokens") or _DEFAULT_TOKENS)
        completion_id = f"chatcmpl-{request_id or uuid.uuid4().hex}"
        usage = {
            "prompt_tokens": len(body["messages"]),
            "completion_tokens": count,
            "total_tokens": len(body["messages"]) + count,
        }
        if not body.get("stream"):
            await asyncio.sleep(self._pace_s() * count)
            self._count_done(usage)
            return web.json_response(
                {
                    "id": completion_id,
                    "object": "chat.completion",
                    "model": body["model"],
                    "choices": [
                        {
                            "index": 0,
                            "finish_reason": "stop",
                            "message": {
                                "role": "assistant",
                                "content": " ".join(f"w{i}" for i in range(count)),
                            },
                        }
                    ],
                    "usage": usage,
                },
                headers=headers,
            )
        response = web.StreamResponse(
            headers={**headers, "Content-Type": "text/event-stream"}
        )
        await response.prepare(request)
        return await self._async_stream(response, body, completion_id, count, usage)

    async def _async_stream(
        self,
        response: web.StreamResponse,
        body: dict[str, Any],
        completion_id: str,
        count: int,
        usage: dict[str, int],
    ) -> web.StreamResponse:
        def event(choices: list[dict[str, Any]], **extra: Any) -> bytes:
            chunk = {
                "id": completion_id,
                "object": "chat.completion.chunk",
                "model": body["model"],
                "choices": choices,
                **extra,
            }
            return b"data: " + orjson.dumps(chunk) + b"\n\n"

        try:
            for index in range(count):
                if self.faults.get("silent_after") == index:
                    await async_silence()
                if self.faults.get("short_after") == index:
                    return response
                await asyncio.sleep(self._pace_s())
                delta = {"content": f"w{index} "}
                await response.write(event([{"index": 0, "delta": delta}]))
            stop = {"index": 0, "delta": {}, "finish_reason": "stop"}
            await response.write(event([stop]))
            if (body.get("stream_options") or {}).get("include_usage"):
                await response.write(event([], usage=usage))
            await response.write(b"data: [DONE]\n\n")
        except (ConnectionError, asyncio.CancelledError):
            self.faults.count("cancelled")
            raise
        self._count_done(usage)
        return response

    def _pace_s(self) -> float:
        pace_s = self.faults.get("token_s") or self._token_s
        collapsed = self._is_cold and self._running > self.faults.get("cold_limit")
        return pace_s * _COLLAPSE_SLOWDOWN if collapsed else pace_s

    def _count_done(self, usage: dict[str, int]) -> None:
        self.faults.count("done")
        self.faults.count("completion_tokens", usage["completion_tokens"])
