"""Detection of upstream VMs that fail without closing connections."""

import socket

from cardamomnotch_entry.relay import upstream_client

# Time within which a VM without power must be detected, in seconds: callers
# of the route with the shortest timeout wait for four.
_DETECTION_TIME_S = 3


def test_silent_connection_is_detected():
    """Idle and unacknowledged connections to a dead VM fail in time."""
    address = (socket.AF_INET, socket.SOCK_STREAM, 0, "", ("127.0.0.1", 1))
    with upstream_client._create_socket(address) as created:

        def option(name):
            return created.getsockopt(socket.IPPROTO_TCP, name)

        assert created.getsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE)
        idle_s = option(socket.TCP_KEEPIDLE)
        probes_s = option(socket.TCP_KEEPINTVL) * option(socket.TCP_KEEPCNT)
        assert 0 < idle_s + probes_s <= _DETECTION_TIME_S
        assert 0 < option(socket.TCP_USER_TIMEOUT) <= _DETECTION_TIME_S * 1000
        assert option(socket.TCP_NODELAY)
