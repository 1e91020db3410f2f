"""Limits on the rates of retries and of requests to an upstream."""
