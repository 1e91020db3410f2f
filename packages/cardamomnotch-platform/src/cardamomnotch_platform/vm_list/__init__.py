"""Client of the platform's list of live and leaving VMs, which may lag."""
