"""Models, versions and services that a workspace's plan allows."""
