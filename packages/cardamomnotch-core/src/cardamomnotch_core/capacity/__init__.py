"""Admission limits of workspaces, and fair sharing under overload."""
