"""Data classes for the sections of a node's settings file."""

import ipaddress
from dataclasses import dataclass
from typing import TypeAlias

IpNetwork: TypeAlias = ipaddress.IPv4Network | ipaddress.IPv6Network


@dataclass(frozen=True, slots=True)
class NodeSection:
    """Section ``[node]``: identity, addresses and logging of the node.

    Parameters
    ----------
    host : str
        IP address at which the node listens on all four ports.
    data_centre : str
        Name of the node's data centre, as in the sheet of organisations, keys,
        routes and data centres.
    secret_file : str
        Path of the file with the secret that all nodes share.
    caller_port : int, default=8080
        TCP port for requests of callers.
    peer_port : int, default=7000
        TCP port for links of other nodes.
    backend_port : int, default=8081
        TCP port for connections of this node's backend server.
    metrics_port : int, default=9100
        TCP port for metrics and for liveness and readiness checks.
    log_level : str, default='INFO'
        Least severe level that is logged.
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
    """Section ``[platform]``: URLs of the table service and object store.

    Parameters
    ----------
    table_url : str
        Base URL of the table service, without a trailing slash.
    object_url : str
        Base URL of the object store, without a trailing slash.
    """

    table_url: str
    object_url: str


@dataclass(frozen=True, slots=True)
class DataCentreSection:
    """Section ``[data_centre]``: where a starting node searches for nodes.

    Parameters
    ----------
    network : IPv4Network or IPv6Network
        Address range of the data centre's nodes. All these nodes use the same
        peer port.
    """

    network: IpNetwork


@dataclass(frozen=True, slots=True)
class LimitsSection:
    """Section ``[limits]``: resource limits of one node.

    Parameters
    ----------
    max_body_bytes : int, default=1048576
        Maximum body size of a request or response, in bytes.
    max_header_bytes : int, default=32768
        Maximum size of the headers of a request or response, in bytes.
    max_connections : int, default=250
        Maximum number of connections to the backend server.
    drain_seconds : float, default=30.0
        Maximum time in seconds for which a stopping node waits for calls in
        flight.
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
