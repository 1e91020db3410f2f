"""Entry and sidecar nodes: state machines that map events to actions."""
