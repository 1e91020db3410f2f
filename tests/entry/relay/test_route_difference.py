"""Logged differences between two versions of the route document."""

import attrs

from cardamomnotch_adapter.document_codec import decode_route_document
from cardamomnotch_entry.relay.route_difference import describe_difference
from cardamomnotch_runtime.structured_log import secret_digest

from tests.fixtures.relay_system import API_KEY, document, route

BEFORE = decode_route_document(document(1))


def test_documents_with_equal_content_have_no_difference():
    """A version with equal content gives no differences."""
    assert describe_difference(BEFORE, decode_route_document(document(2))) == {}


def test_routes_and_keys():
    """Routes are listed by name, keys by digest."""
    routes = [
        route("book", "non_idempotent", service="bookings", timeout_ms=900),
        route("new", "idempotent", service="bookings"),
        *document()["routes"][3:],
    ]
    tenants = [{"name": "firm-two", "api_keys": ["another-key"]}]
    after = decode_route_document(document(2, routes=routes, tenants=tenants))
    found = describe_difference(BEFORE, after)
    assert found["routes_added"] == ["new"]
    assert found["routes_changed"] == ["book"]
    assert found["keys_removed"] == [secret_digest(API_KEY)]
    assert found["keys_added"] == [secret_digest("another-key")]
    assert "another-key" not in str(found)


def test_long_lists_are_truncated():
    """A list of many changed keys is truncated to ten."""
    keys = dict.fromkeys((f"key-{number}" for number in range(100)), None)
    after = attrs.evolve(BEFORE, workspaces=keys)
    assert len(describe_difference(BEFORE, after)["keys_added"]) == 10
