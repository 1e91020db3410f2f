"""Intervals and sizes of the change feed."""

from typing import Final

# Entries of an availability zone that watch the store for the others.
SOURCES_PER_ZONE: Final = 2
# Interval between two requests of an entry to its sources in turn, in seconds.
REQUEST_INTERVAL_S: Final = 0.3
# Time without a reply after which a source is regarded as silent, in seconds:
# the next entries of the zone take its place.
SILENT_SOURCE_S: Final = 1.2
# Interval at which a silent source is asked again, in seconds.
SILENT_RETRY_INTERVAL_S: Final = 3.0
# Time after its last request for which changes are sent to an entry, in seconds.
READER_EXPIRY_S: Final = 2.0
# Time for which a request may be answered, in seconds.
REQUEST_EXPIRY_S: Final = 5.0
# Smallest time between the calls of two confirmations that are not the same, in
# seconds.
MIN_CONFIRMATION_STEP_S: Final = 0.1

# Time without a change of the large value after which it is watched together with all
# other keys again, in seconds.
LARGE_VALUE_APART_S: Final = 3.0

# Changes that are kept for other entries, and the sum of their sizes in bytes.
MAX_LOG_CHANGES: Final = 512
MAX_LOG_BYTES: Final = 262_144
# Largest value that is passed on, in bytes: others are read from the store.
MAX_INLINE_BYTES: Final = 900
# Largest size of the changes in one datagram, and in the first one of an answer, in
# bytes, and the number of datagrams beyond which an entry reads the store instead.
MAX_PART_BYTES: Final = 1_100
MAX_FIRST_PART_BYTES: Final = 1_300
MAX_PARTS: Final = 24
# Bytes of a change beside its key and value.
CHANGE_OVERHEAD_BYTES: Final = 32
