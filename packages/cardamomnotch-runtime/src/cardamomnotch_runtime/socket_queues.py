"""What the kernel holds for a TCP connection, and its release."""

import asyncio
import fcntl
import socket
import struct
import termios

# From linux/sockios.h.
_SIOCOUTQNSD = 0x894B
_SIOCOUTQ = termios.TIOCOUTQ
_SIOCINQ = termios.FIONREAD
# Value of SO_LINGER with which closing a socket resets its connection.
_NO_LINGER = struct.pack("ii", 1, 0)


def reset_on_close(transport: asyncio.BaseTransport) -> None:
    """Let closing ``transport`` reset its connection; unsent data is lost."""
    transport.get_extra_info("socket").setsockopt(
        socket.SOL_SOCKET, socket.SO_LINGER, _NO_LINGER
    )


def unsent_bytes(transport: asyncio.BaseTransport) -> int:
    """Return the bytes that the kernel has not sent; 0 if unknown.

    These are bytes that the receiver has no room for, as a rule.
    """
    return _queued_bytes(transport, _SIOCOUTQNSD)


def unacknowledged_bytes(transport: asyncio.BaseTransport) -> int:
    """Return the bytes that the receiver has not acknowledged; 0 if unknown."""
    return _queued_bytes(transport, _SIOCOUTQ)


def unread_bytes(transport: asyncio.BaseTransport) -> int:
    """Return the bytes that have arrived, and were not read; 0 if unknown."""
    return _queued_bytes(transport, _SIOCINQ)


def _queued_bytes(transport: asyncio.BaseTransport, request: int) -> int:
    connection = transport.get_extra_info("socket")
    if connection is None:
        return 0
    try:
        found = fcntl.ioctl(connection.fileno(), request, struct.pack("i", 0))
    except (OSError, ValueError):
        # The connection has been closed.
        return 0
    return struct.unpack("i", found)[0]
