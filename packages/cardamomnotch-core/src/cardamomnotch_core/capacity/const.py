"""Limits of admission at an entry."""

from typing import Final

# Seconds of a plan's rate that a workspace may use at once.
BURST_S: Final = 1.0
# From this load of the upstreams on, workspaces are held to equal parts.
FAIR_FROM_LOAD: Final = 0.8
# The lowest class is shed from here on, the next ones up to a full load.
SHED_FROM_LOAD: Final = 0.85
# How long a sum of the upstreams' loads is used.
LOAD_MAX_AGE_S: Final = 0.1
# Callers that were shed come back within this time, spread at random.
SHED_RETRY_AFTER_S: Final = (1.0, 3.0)
CONCURRENCY_RETRY_AFTER_S: Final = 1.0

# Retries as a share of first attempts, and how many may be saved up.
RETRY_SHARE: Final = 0.2
MAX_SAVED_RETRIES: Final = 50.0
