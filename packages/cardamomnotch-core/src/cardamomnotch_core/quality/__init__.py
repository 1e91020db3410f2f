"""Quality of each version for each request class, from ratings."""
