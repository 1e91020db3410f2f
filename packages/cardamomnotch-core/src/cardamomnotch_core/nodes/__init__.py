"""The two roles as state machines: events in, actions out."""
