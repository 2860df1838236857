"""Settings of one node as data."""

import ipaddress
from dataclasses import dataclass
from typing import TypeAlias

IpNetwork: TypeAlias = ipaddress.IPv4Network | ipaddress.IPv6Network


@dataclass(frozen=True, slots=True)
class NodeSection:
    """Section ``[node]``: where the node listens and what it is.

    Parameters
    ----------
    host : str
        IP address on which all four ports listen.
    data_centre : str
        Name of the node's data centre, as in the sheet.
    secret_file : str
        File that holds the fleet secret.
    caller_port : int, default=8080
        TCP port for callers.
    peer_port : int, default=7000
        TCP port for other nodes.
    backend_port : int, default=8081
        TCP port for the node's own backend server.
    metrics_port : int, default=9100
        TCP port for metrics, liveness and readiness.
    log_level : str, default='INFO'
        Lowest level that is logged.
    """

    host: str
    data_centre: str
    secret_file: str
    caller_port: int = 8080
    peer_port: int = 7000
    backend_port: int = 8081
    metrics_port: int = 9100
    log_level: str = 'INFO'


@dataclass(frozen=True, slots=True)
class PlatformSection:
    """Section ``[platform]``: where the platform's services are.

    Parameters
    ----------
    table_url : str
        Base URL of the table service, without a slash at the end.
    object_url : str
        Base URL of the object store, without a slash at the end.
    """

    table_url: str
    object_url: str


@dataclass(frozen=True, slots=True)
class DataCentreSection:
    """Section ``[data_centre]``: where a booting node looks for others.

    Parameters
    ----------
    network : IPv4Network or IPv6Network
        Address range of the data centre's nodes, which all use the same
        port for peers.
    """

    network: IpNetwork


@dataclass(frozen=True, slots=True)
class LimitsSection:
    """Section ``[limits]``: bounds on what one node takes.

    Parameters
    ----------
    max_body_bytes : int, default=1048576
        Longest body of a request or an answer.
    max_header_bytes : int, default=32768
        Longest header block of a request or an answer.
    max_connections : int, default=250
        Most connections to the backend server.
    drain_seconds : float, default=30.0
        Longest wait for calls in flight at a planned stop.
    """

    max_body_bytes: int = 1_048_576
    max_header_bytes: int = 32_768
    max_connections: int = 250
    drain_seconds: float = 30.0


@dataclass(frozen=True, slots=True)
class NodeSettings:
    """All settings of a node.

    Parameters
    ----------
    node : NodeSection
        Section ``[node]``.
    platform : PlatformSection
        Section ``[platform]``.
    data_centre : DataCentreSection
        Section ``[data_centre]``.
    limits : LimitsSection, default=LimitsSection()
        Section ``[limits]``.
    """

    node: NodeSection
    platform: PlatformSection
    data_centre: DataCentreSection
    limits: LimitsSection = LimitsSection()
