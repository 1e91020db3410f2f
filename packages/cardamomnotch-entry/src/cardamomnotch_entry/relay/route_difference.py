"""Differences between two versions of the route document, for the log."""

from collections.abc import Iterable

from cardamomnotch_core.relay.models import RouteDocument
from cardamomnotch_runtime.structured_log import secret_digest

from .const import MAX_LOGGED_NAMES


def describe_difference(
    old_document: RouteDocument, new_document: RouteDocument
) -> dict[str, list[str]]:
    """Return the names of changed routes and digests of changed API keys.

    Each list has at most MAX_LOGGED_NAMES items; empty lists are omitted.
    """
    old_routes = {route.name: route for route in old_document.routes}
    new_routes = {route.name: route for route in new_document.routes}
    old_keys, new_keys = (
        set(old_document.workspaces or ()),
        set(new_document.workspaces or ()),
    )
    differences = {
        "routes_added": new_routes.keys() - old_routes.keys(),
        "routes_removed": old_routes.keys() - new_routes.keys(),
        "routes_changed": {
            name
            for name in old_routes.keys() & new_routes.keys()
            if old_routes[name] != new_routes[name]
        },
        "keys_added": map(secret_digest, new_keys - old_keys),
        "keys_removed": map(secret_digest, old_keys - new_keys),
    }
    differences_by_kind = {
        kind: _truncate(names) for kind, names in differences.items()
    }
    return {kind: names for kind, names in differences_by_kind.items() if names}


def _truncate(names: Iterable[str]) -> list[str]:
    return sorted(names)[:MAX_LOGGED_NAMES]
