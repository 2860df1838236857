"""Servers of a node, one for each address at which it listens."""

import socket
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Final, TypeAlias

from mustardshunt.policy import RequestLimits
from mustardshunt.relay import HttpServer
from mustardshunt.sidecar._peer_server import PeerServer

# Largest body of a status report or of a request to the node itself.
MAX_OWN_BODY_BYTES: Final = 65536

ServerByOption: TypeAlias = dict[str, HttpServer | PeerServer]


@dataclass(frozen=True, slots=True)
class Servers:
    """All servers of a node.

    Parameters
    ----------
    callers : HttpServer
        Serves callers and the backend server on the same VM.
    peers : PeerServer
        Serves the links of other nodes.
    ready : HttpServer
        Serves readiness checks.
    control : HttpServer
        Serves status reports of the backend server.
    metrics : HttpServer
        Serves the monitoring system.
    """

    callers: HttpServer
    peers: PeerServer
    ready: HttpServer
    control: HttpServer
    metrics: HttpServer

    def serve(self, listening: Mapping[str, socket.socket]) -> None:
        """Serve on listening sockets, given by the name of the address.

        Heartbeats and links are accepted before callers, whose requests need
        both.
        """
        for name in ('control', 'peers', 'ready', 'callers', 'metrics'):
            getattr(self, name).serve(listening[name])

    def close(self) -> None:
        """Close all connections and listening sockets."""
        for name in ('callers', 'ready', 'control', 'metrics', 'peers'):
            getattr(self, name).close()

    def by_option(self) -> ServerByOption:
        """Return the servers by the option that holds their address."""
        return {
            'listen.callers': self.callers,
            'listen.peers': self.peers,
            'listen.ready': self.ready,
            'listen.control': self.control,
            'listen.metrics': self.metrics,
        }


def own_request_limits() -> RequestLimits:
    """Return the limits on requests to the node itself.

    Status reports, readiness checks and readings of metrics are small.
    """
    return RequestLimits(max_body_bytes=MAX_OWN_BODY_BYTES)
