"""Small stand-ins for the platform and the upstreams, with faults."""
