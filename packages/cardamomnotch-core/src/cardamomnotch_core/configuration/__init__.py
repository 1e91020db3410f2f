"""Models, checks, differences and distribution of the configuration."""
