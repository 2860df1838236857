"""Data classes of the policy that operators declare for a deployment."""

from collections.abc import Mapping
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class WeightedService:
    """A service of a route, and its weight among the services of the route.

    Parameters
    ----------
    service : str
        Name of the service.
    weight : float
        Relative share of the route's requests that the service receives.
    """

    service: str
    weight: float


@dataclass(frozen=True, slots=True)
class RoutePolicy:
    """Limits, priority and services for the requests of one route.

    Parameters
    ----------
    name : str
        Name of the route.
    host : str
        Host of the requests, in lower case and without port.
    prefix : str
        Prefix of the path; begins and ends with a slash.
    is_idempotent : bool
        Whether a request may run more than once.
    timeout : float
        Longest time from a request to its response, in seconds.
    latency_objective : float
        Latency in seconds up to which a response counts as in time.
    priority : int
        Priority of the requests, 0 is the most important.
    weighted_services : tuple of WeightedService
        Services among which the requests are divided.
    max_attempts : int
        Most attempts for one request, each at another backend server.
    is_public : bool
        Whether requests need no API key.
    """

    name: str
    host: str
    prefix: str
    is_idempotent: bool
    timeout: float
    latency_objective: float
    priority: int
    weighted_services: tuple[WeightedService, ...]
    max_attempts: int
    is_public: bool


@dataclass(frozen=True, slots=True)
class ServicePolicy:
    """Limits for each backend server of a service.

    Parameters
    ----------
    name : str
        Name of the service.
    health_path : str
        Path of the health check.
    max_connections : int
        Most connections that a backend server accepts at the same time.
    warmup : float
        Duration of the cold start of a backend server, in seconds.
    cold_rate : float
        Requests per second that a backend server may receive during its cold
        start, 0 if unlimited.
    """

    name: str
    health_path: str
    max_connections: int
    warmup: float
    cold_rate: float


@dataclass(frozen=True, slots=True)
class OrganisationPolicy:
    """Usage cap and priority of one organisation.

    Parameters
    ----------
    name : str
        Name of the organisation.
    priority : int or None
        Priority of the organisation's requests, which replaces the priority of
        the route. If None, the priority of the route is used.
    rate : float
        Requests per second over all nodes, 0 if unlimited.
    burst : float
        Number of requests that may arrive at once above the rate.
    """

    name: str
    priority: int | None
    rate: float
    burst: float


@dataclass(frozen=True, slots=True)
class RequestLimits:
    """Limits on the size and the duration of requests of callers.

    Parameters
    ----------
    max_header_bytes : int
        Largest size of request line and headers together, in bytes.
    max_body_bytes : int
        Largest size of a request body, in bytes.
    header_timeout : float
        Seconds within which the headers of a request must be complete.
    idle_timeout : float
        Seconds after which an idle connection is closed.
    """

    max_header_bytes: int = 16384
    max_body_bytes: int = 67108864
    header_timeout: float = 3.0
    idle_timeout: float = 15.0


@dataclass(frozen=True, slots=True)
class Policy:
    """One version of the policy of a deployment.

    Parameters
    ----------
    version : int
        Number of the version; rises with each change.
    route_by_name : mapping of str to RoutePolicy
        All routes.
    service_by_name : mapping of str to ServicePolicy
        All services.
    organisation_by_name : mapping of str to OrganisationPolicy
        All organisations.
    organisation_by_key : mapping of str to str
        Name of the organisation to which each API key belongs.
    limits : RequestLimits
        Limits on the requests of callers.
    """

    version: int
    route_by_name: Mapping[str, RoutePolicy]
    service_by_name: Mapping[str, ServicePolicy]
    organisation_by_name: Mapping[str, OrganisationPolicy]
    organisation_by_key: Mapping[str, str]
    limits: RequestLimits
