"""Admission of requests while a service's upstreams have no free slot."""
