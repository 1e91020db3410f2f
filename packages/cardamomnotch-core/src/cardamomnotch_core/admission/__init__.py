"""How much the gate lets through to its upstream."""
