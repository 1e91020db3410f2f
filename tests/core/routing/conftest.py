"""Fixtures of the routing tests."""

import pytest

from tests.fixtures.decisions import RoutingWorld


@pytest.fixture
def world() -> RoutingWorld:
    """Return a router that knows no upstream yet."""
    return RoutingWorld()
