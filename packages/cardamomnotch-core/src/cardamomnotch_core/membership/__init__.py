"""The fleet's entries and upstreams: discovery, heartbeats and liveness."""
