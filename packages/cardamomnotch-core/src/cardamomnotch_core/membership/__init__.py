"""Which upstreams there are, and what is known of each."""
