"""Which version and which upstream a request is tried on."""
