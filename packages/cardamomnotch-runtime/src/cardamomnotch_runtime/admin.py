"""Admin application: health, readiness, metrics and the state dump."""

from collections.abc import Callable
from typing import Any

from aiohttp import web
from prometheus_client import CollectorRegistry, generate_latest

from .responses import json_response

_METRICS_CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"


def create_metrics_app(registry: CollectorRegistry) -> web.Application:
    """Return an application that serves metrics only."""

    async def metrics(_: web.Request) -> web.Response:
        return web.Response(
            body=generate_latest(registry),
            headers={"Content-Type": _METRICS_CONTENT_TYPE},
        )

    app = web.Application()
    app.router.add_get("/metrics", metrics)
    return app


def create_admin_app(
    *,
    is_ready: Callable[[], bool],
    diagnostics: Callable[[], dict[str, Any]],
    registry: CollectorRegistry,
) -> web.Application:
    """Return the application for operators and the platform's probes.

    It serves health, readiness, metrics and the state dump.
    """

    async def healthz(_: web.Request) -> web.Response:
        return json_response({"healthy": True})

    async def readyz(_: web.Request) -> web.Response:
        ready = is_ready()
        return json_response({"ready": ready}, status=200 if ready else 503)

    async def state(_: web.Request) -> web.Response:
        return json_response(diagnostics())

    app = create_metrics_app(registry)
    app.router.add_get("/healthz", healthz)
    app.router.add_get("/readyz", readyz)
    app.router.add_get("/state", state)
    return app
