"""The state dump of a relaying entry."""

import heapq
from typing import Any

import attrs

from cardamomnotch_core.relay.node import RelayNode
from cardamomnotch_runtime.caller_limits.guard import CallerGuard

from .const import MAX_LISTED_SUSPECTS
from .server import RelayServer


def diagnostics(
    node: RelayNode, server: RelayServer, guard: CallerGuard, now_s: float
) -> dict[str, Any]:
    """Return the state dump, which contains no API keys."""
    position = node.feed.position
    return {
        "entry": node.identity.name,
        "zone": node.identity.zone,
        "incarnation": node.identity.incarnation,
        "in_flight": server.in_flight,
        "callers": guard.diagnostics(),
        "routes": {
            "version": node.routes.version,
            "fresh": node.routes.is_fresh(now_s),
            "age_s": now_s - node.routes.confirmed_at_s,
            "lost": node.routes.is_lost,
        },
        "feed": {
            "era": position.era if position else None,
            "revision": position.revision if position else None,
            "age_s": now_s - node.feed.confirmed_at_s,
            "is_source": node.feed.is_source(now_s),
        },
        "lost_items": list(map(str, node.lost_items.pending)),
        "entries": node.entries,
        "zones_out": sorted(node.fleet.zones_out),
        "upstreams": [
            {
                "id": state.upstream_id,
                "service": state.upstream.service,
                "version": state.upstream.version,
                "zone": state.upstream.zone,
                "draining": state.is_draining,
                "kept": state.remove_at_s is not None,
                "cold": state.is_cold(now_s),
                "penalized": state.is_penalized(now_s),
                "in_flight": state.in_flight,
                "running": state.running(now_s),
                "slots": state.upstream.slots,
                "pending": len(state.queue.prompts),
                "speed_factor": round(state.queue.speed.factor(now_s), 2),
            }
            for state in node.fleet
        ],
        "shortage": {
            service: attrs.asdict(node.model_choice.shortage(service, now_s))
            for service in node.model_choice.services
        },
        "model_choice": node.model_choice.learned(),
        "first_token_errors": [
            {
                "service": error.service,
                "model": error.model,
                "load": error.load.value,
                "samples": error.samples,
                "median_ratio": round(error.median, 2),
                "spread": round(error.spread, 2),
            }
            for error in node.estimates.errors
        ],
        "queues": [
            {
                "service": queue.service,
                "requests": queue.requests,
                "bytes": queue.body_bytes,
                "oldest_s": queue.oldest_s,
                "slots_per_s": queue.slots_per_s,
                "overloaded_priorities": queue.overloaded,
            }
            for queue in node.admission.queues(now_s)
        ],
        "workspaces_over_share": node.admission.use.over_share(now_s),
        "prompt_caches": {
            upstream_id: {
                "tokens": cache.tokens,
                "capacity": cache.capacity,
                "running_tokens": cache.running_tokens,
                "parts": len(cache),
            }
            for upstream_id, cache in sorted(node.prompt_caches.caches.items())
        },
        "crashes": dict(
            heapq.nlargest(
                MAX_LISTED_SUSPECTS,
                node.quarantine.totals.items(),
                key=lambda item: item[1],
            )
        ),
        "suspects": node.quarantine.suspect_count,
        "held_suspects": node.held_suspects.count,
        "named_rates": node.rates.named,
        "zones_unreachable": sorted(node.reachability.lost_zones(now_s)),
        "suspected_processes": sorted(node.isolation.processes),
        "rollouts": [
            {
                "service": rollout.order.service,
                "target": rollout.order.target,
                "state": rollout.state.value,
                "share": rollout.share(now_s),
                "bad": rollout.is_bad,
                "suspect": rollout.is_suspect,
            }
            for rollout in node.versions.rollouts
        ],
    }
