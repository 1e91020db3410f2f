"""A model of load on entries and upstreams, which plays the real decisions."""
