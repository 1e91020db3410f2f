"""Expected times of requests at an upstream, learned from observed ones."""
