"""What a workspace's plan allows."""
