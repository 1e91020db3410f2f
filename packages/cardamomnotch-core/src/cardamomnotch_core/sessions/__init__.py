"""Sessions, which stay on one version of a model."""
