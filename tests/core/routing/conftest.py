"""Fixtures of the routing tests."""

import pytest

from tests.fixtures.decisions import RoutingWorld


@pytest.fixture
def world() -> RoutingWorld:
    """Return a router without any upstream."""
    return RoutingWorld()
