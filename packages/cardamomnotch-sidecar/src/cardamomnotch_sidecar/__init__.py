"""The sidecar: a process that controls all access to one upstream."""
