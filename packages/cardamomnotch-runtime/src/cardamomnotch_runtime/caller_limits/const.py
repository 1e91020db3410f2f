"""Shares, sizes and times of the limits on callers."""

from typing import Final

# Memory of the smallest VM, which is assumed if the settings name none, in MB.
DEFAULT_MEMORY_MB: Final = 160
# Shares of the memory for bodies that have been admitted and for answers that are
# complete before they are sent on, and the share that all bytes received and unread
# may take before connections are closed. A process at rest takes about 43 of 160 MB;
# the rest is for parsed requests, routes and fragmentation.
BODY_SHARE: Final = 0.15
ANSWER_SHARE: Final = 0.15
HELD_SHARE: Final = 0.2
# Share of the memory for parts of responses that cannot be passed on yet.
UNFINISHED_SHARE: Final = 0.1
# Bytes of one request that are read without being admitted: more than a head of
# the largest size that the platform allows, with a small body.
FREE_BYTES: Final = 65_536
# Largest head that is read, in bytes; the platform's own limit is 16,384.
MAX_HEAD_BYTES: Final = 65_536
# Receive buffer of a listening socket's connections, in bytes: what one read can
# return before the connection is paused. The kernel doubles it.
RECEIVE_BUFFER_BYTES: Final = 32_768
# Bytes of a body that are parsed ahead of its reader. The library also stops its
# parser at one chunk for each 16 of them: a parsed chunk of one byte takes 44 bytes.
READ_BUFFER_BYTES: Final = 16_384
# Requests sent ahead on one connection, and bytes sent ahead while a request is
# being served, from which the connection is not read until its answer is sent.
MAX_REQUESTS_AHEAD: Final = 4
MAX_BYTES_AHEAD: Final = 16_384
# Bytes of earlier answers that the caller has not read, beyond which the next request
# on a connection waits, and the intervals in which this is checked, in seconds.
MAX_UNREAD_BYTES: Final = 4_096
MIN_UNREAD_CHECK_S: Final = 0.01
MAX_UNREAD_CHECK_S: Final = 1.0
# Intervals in which it is checked whether a response has been sent, in seconds.
MIN_UNSENT_CHECK_S: Final = 0.001
MAX_UNSENT_CHECK_S: Final = 0.05

# While bodies wait to be admitted: time without data after which an admitted one is
# refused, and the rate that it must keep after that time.
STALL_S: Final = 1.0
MIN_BODY_BYTES_PER_S: Final = 65_536
# Time that a body may wait to be admitted.
MAX_WAIT_S: Final = 5.0
# Time without progress after which a caller that does not read is disconnected.
UNREAD_TIMEOUT_S: Final = 10.0
# The same while answers wait for memory.
UNREAD_TIMEOUT_WHILE_SHORT_S: Final = 2.0
# Interval at which these times are checked.
CHECK_INTERVAL_S: Final = 0.25

# Descriptors of a process that are not for callers and their requests.
RESERVED_DESCRIPTORS: Final = 64
# Limits of the address for probes and operators: connections, bytes held for them,
# and time within which a request must have arrived.
ADMIN_CONNECTIONS: Final = 32
ADMIN_BYTES: Final = 2_097_152
ADMIN_FREE_BYTES: Final = 16_384
ADMIN_IDLE_S: Final = 15.0
