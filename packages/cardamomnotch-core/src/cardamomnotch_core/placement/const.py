"""Times of placement."""

from typing import Final

# The engine's report is read again before an order is repeated.
ORDER_RETRY_S: Final = 2.0
