"""What one version of the operators' document changes, for the log."""

from collections.abc import Iterable

from cardamomnotch_core.relay.models import RouteDocument
from cardamomnotch_runtime.structured_log import secret_digest

from .const import MAX_LOGGED_NAMES


def describe_difference(
    before: RouteDocument, after: RouteDocument
) -> dict[str, list[str]]:
    """Return the names of routes, and digests of keys, that have changed.

    Lists are cut after MAX_LOGGED_NAMES; what has not changed is left out.
    """
    old = {route.name: route for route in before.routes}
    new = {route.name: route for route in after.routes}
    old_keys, new_keys = set(before.workspaces or ()), set(after.workspaces or ())
    found = {
        "routes_added": new.keys() - old.keys(),
        "routes_removed": old.keys() - new.keys(),
        "routes_changed": {
            name for name in old.keys() & new.keys() if old[name] != new[name]
        },
        "keys_added": map(secret_digest, new_keys - old_keys),
        "keys_removed": map(secret_digest, old_keys - new_keys),
    }
    named = {kind: _cut(names) for kind, names in found.items()}
    return {kind: names for kind, names in named.items() if names}


def _cut(names: Iterable[str]) -> list[str]:
    return sorted(names)[:MAX_LOGGED_NAMES]
