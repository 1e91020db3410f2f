"""What an upstream has cached of prompts, weighed against the wait there."""
