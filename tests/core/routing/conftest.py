"""Fixtures of the routing tests."""

import pytest

from tests.fixtures.routing_harness import RoutingHarness


@pytest.fixture
def harness() -> RoutingHarness:
    """Return a router without any upstream."""
    return RoutingHarness()
