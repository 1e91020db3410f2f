"""Constants of load notices."""

from typing import Final

# Entries of another availability zone up to which each gets notices directly.
MAX_DIRECT_ENTRIES: Final = 2
