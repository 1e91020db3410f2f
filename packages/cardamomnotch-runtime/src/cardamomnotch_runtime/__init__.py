"""Parts that both binaries share: settings, servers, metrics, logs."""
