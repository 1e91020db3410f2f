"""Fixtures that build the relay's data types."""

import pytest

from cardamomnotch_core.relay.models import (
    RepeatRule,
    RequestFacts,
    Route,
    RouteDocument,
    Service,
    Share,
    Upstream,
    Workspace,
)


@pytest.fixture
def make_route():
    """Return a function that builds a route."""

    def make(name="draft", **fields):
        defaults = {
            "name": name,
            "host": "calls.example",
            "path_prefix": f"/{name}/",
            "repeat": RepeatRule.RESUMABLE_STREAM,
            "shares": (Share(service="drafts", weight=1.0),),
            "timeout_s": 10.0,
            "target_latency_s": 2.0,
            "max_attempts": 3,
        }
        return Route(**{**defaults, **fields})

    return make


@pytest.fixture
def make_document(make_route):
    """Return a function that builds a routes document."""

    def make(version=1, routes=None, keys=("key-one",), **fields):
        return RouteDocument(
            version=version,
            routes=tuple(routes if routes is not None else [make_route()]),
            services={"drafts": Service(name="drafts", cold_rate=7.3)},
            workspaces={key: Workspace(name="firm-one") for key in keys},
            **fields,
        )

    return make


@pytest.fixture
def make_upstream():
    """Return a function that builds an upstream's registration."""

    def make(upstream_id="up-1", **fields):
        defaults = {
            "upstream_id": upstream_id,
            "service": "drafts",
            "address": "10.0.0.1:80",
            "zone": "zone-a",
            "version": "v1",
            "slots": 64,
            "started_ms": 1,
        }
        return Upstream(**{**defaults, **fields})

    return make


@pytest.fixture
def make_facts():
    """Return a function that builds the facts of a request."""

    def make(request_id="request-1", **fields):
        return RequestFacts(request_id=request_id, **{"fingerprint": "print", **fields})

    return make
