"""Selection of the version and the upstream for each request."""
