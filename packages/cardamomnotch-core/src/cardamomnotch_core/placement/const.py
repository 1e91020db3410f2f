"""Time limits of placement."""

from typing import Final

# Delay before an order is repeated, so that the engine's next status report
# can confirm the first one.
ORDER_RETRY_S: Final = 2.0
