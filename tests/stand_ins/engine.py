"""Stand-in for a model engine with the chat-completions API.

Faults: ``crash_on`` (restart on a prompt with this text), ``silent_after``
(stop sending after this many tokens), ``short_after`` (end the stream after
this many tokens), ``crossed`` (response with another request's id),
``refuse`` (503), ``cold_limit`` (concurrent requests above which a cold
engine slows down) with ``warm_after`` (answers since the start after which
the engine is warm), ``ignore_fencing`` (accept placement orders with an
outdated fencing number), ``lag_s`` (age of the load reported), ``token_s``
(time per token).

Counters: ``most_running`` and ``most_running_cold`` (highest concurrency, in
all and while cold), ``collapses`` (requests started above ``cold_limit`` while
cold), and ``priority_<number>`` for the requests of each priority.
"""

import asyncio
import time
import uuid
from typing import Any

import orjson
from aiohttp import web

from .faults import Faults, async_never_respond

_DEFAULT_TOKENS = 8
# Factor by which the time per token grows above the cold limit.
_COLLAPSE_SLOWDOWN = 10


class EngineStandIn:
    """Answers with as many words as tokens were asked for, one per token."""

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
        self._completed_since_start = 0
        self._transports: set[asyncio.Transport] = set()
        self._fencing = 0
        # Monotonic time and number of running requests at each load report.
        self._load_history: list[tuple[float, int]] = []

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
        self._load_history.append((now, self._running))
        lag_s = self.faults.get("lag_s") or 0.0
        visible = [count for at, count in self._load_history if at <= now - lag_s]
        self._load_history = [item for item in self._load_history if item[0] > now - 60]
        return web.json_response(
            {
                "start_id": self.start_id,
                "waiting": visible[-1] if visible else 0,
                "versions": self.versions,
                "fencing": self._fencing,
            }
        )

    async def _async_order(self, request: web.Request) -> web.Response:
        order = orjson.loads(await request.read())
        fencing = int(order.get("fencing", 0))
        is_outdated = fencing < self._fencing
        if is_outdated and not self.faults.get("ignore_fencing"):
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
        """Restart cold as after a crash; reset the connections in use."""
        self.start_id = uuid.uuid4().hex
        self._completed_since_start = 0
        self._running = 0
        for transport in self._transports:
            transport.abort()
        self.faults.count("crashes")

    def become_cold(self) -> None:
        """Become cold without a restart and without a new start id."""
        self._completed_since_start = 0

    async def _async_completion(self, request: web.Request) -> web.StreamResponse:
        body = orjson.loads(await request.read())
        request_id = request.headers.get("X-Request-Id", "")
        if self.faults.consume("refuse"):
            return web.json_response({"error": "busy"}, status=503)
        if body["model"] not in self.versions:
            return web.json_response({"error": "model not loaded"}, status=404)
        self._check_crash(request, body)
        self.faults.count("started")
        self.faults.count(f"priority_{body.get('priority', 0)}")
        self._running += 1
        self._record_concurrency()
        self._transports.add(request.transport)
        transport, start_id = request.transport, self.start_id
        try:
            answer = await self._async_answer(request, body, request_id)
            self._completed_since_start += start_id == self.start_id
            return answer
        finally:
            self._transports.discard(transport)
            # A restart since then has reset the count to zero.
            self._running -= start_id == self.start_id

    def _record_concurrency(self) -> None:
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
        return warm_after is None or self._completed_since_start < warm_after

    def _check_crash(self, request: web.Request, body: dict[str, Any]) -> None:
        crash_text = self.faults.get("crash_on")
        if crash_text and crash_text in orjson.dumps(body["messages"]).decode():
            self.restart()
            request.transport.abort()
            raise web.HTTPInternalServerError

    async def _async_answer(
        self, request: web.Request, body: dict[str, Any], request_id: str
    ) -> web.StreamResponse:
        echoed_id = "another-request" if self.faults.consume("crossed") else request_id
        headers = {"X-Request-Id": echoed_id}
        token_count = int(body.get("max_tokens") or _DEFAULT_TOKENS)
        completion_id = f"chatcmpl-{request_id or uuid.uuid4().hex}"
        usage = {
            "prompt_tokens": len(body["messages"]),
            "completion_tokens": token_count,
            "total_tokens": len(body["messages"]) + token_count,
        }
        if not body.get("stream"):
            await asyncio.sleep(self._seconds_per_token() * token_count)
            self._count_completion(usage)
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
                                "content": " ".join(
                                    f"w{i}" for i in range(token_count)
                                ),
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
        return await self._async_stream(
            response, body, completion_id, token_count, usage
        )

    async def _async_stream(
        self,
        response: web.StreamResponse,
        body: dict[str, Any],
        completion_id: str,
        token_count: int,
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
            for index in range(token_count):
                if self.faults.get("silent_after") == index:
                    await async_never_respond()
                if self.faults.get("short_after") == index:
                    return response
                await asyncio.sleep(self._seconds_per_token())
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
        self._count_completion(usage)
        return response

    def _seconds_per_token(self) -> float:
        token_s = self.faults.get("token_s") or self._token_s
        is_overloaded = self._is_cold and self._running > self.faults.get("cold_limit")
        return token_s * _COLLAPSE_SLOWDOWN if is_overloaded else token_s

    def _count_completion(self, usage: dict[str, int]) -> None:
        self.faults.count("done")
        self.faults.count("completion_tokens", usage["completion_tokens"])
