"""Client of the service that rates the quality of answers."""
