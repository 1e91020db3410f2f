"""How good each version is for each request class, by ratings."""
