"""Which requests and prompt parts crash upstreams, and how they are kept apart."""
