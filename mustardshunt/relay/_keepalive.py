"""Probes of the kernel on idle connections."""

import socket
from typing import Final

# Idle time before the first probe and interval between probes, in seconds, and
# number of unanswered probes after which a connection is lost.
PROBE_SECONDS: Final = 1
PROBE_COUNT: Final = 2


def enable_keepalive(tcp_socket: socket.socket) -> None:
    """Let the kernel probe a connection while nothing arrives on it.

    The probes find a path that has failed silently, and wake no process.
    """
    tcp_socket.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    tcp_socket.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, PROBE_SECONDS
    )
    tcp_socket.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, PROBE_SECONDS
    )
    tcp_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, PROBE_COUNT)
