"""Orders to the engine, which only its own sidecar gives."""
