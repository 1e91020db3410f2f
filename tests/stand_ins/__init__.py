"""Test servers in place of the platform and the upstreams, with faults."""
