"""What operators declare for a deployment: routes, services, organisations."""

from collections.abc import Mapping
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class WeightedService:
    """One service among which a route splits its requests.

    Parameters
    ----------
    service : str
        Service that receives the part.
    weight : float
        Share of the route's requests, relative to the other parts.
    """

    service: str
    weight: float


@dataclass(frozen=True, slots=True)
class RoutePolicy:
    """How the requests of one route are treated.

    Parameters
    ----------
    name : str
        Name of the route.
    host : str
        Host that the request names, in lower case and without port.
    prefix : str
        Start of the path; begins and ends with a slash.
    is_idempotent : bool
        Whether a request may run more than once.
    timeout : float
        Seconds for which a request may be kept waiting.
    latency_objective : float
        Seconds within which an answer has its full value.
    priority : int
        Rank of the route, 0 is the most important.
    weighted_services : tuple of WeightedService
        Services that run the requests.
    max_attempts : int
        Most backend servers to which one request may be sent.
    is_public : bool
        Whether requests need no key.
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
    """Limits that hold for each backend server of a service.

    Parameters
    ----------
    name : str
        Name of the service.
    health_path : str
        Path of the health check.
    max_connections : int
        Connections that a backend server accepts from all callers together.
    warmup : float
        Seconds for which a started backend server stays cold.
    cold_rate : float
        Requests per second that a cold backend server bears, 0 if unlimited.
    """

    name: str
    health_path: str
    max_connections: int
    warmup: float
    cold_rate: float


@dataclass(frozen=True, slots=True)
class OrganisationPolicy:
    """Rate and importance of one organisation.

    Parameters
    ----------
    name : str
        Name of the organisation.
    priority : int or None
        Rank that goes before the route's, None if there is none.
    rate : float
        Requests per second over all nodes, 0 if unlimited.
    burst : float
        Requests that may come at once on top of the rate.
    """

    name: str
    priority: int | None
    rate: float
    burst: float


@dataclass(frozen=True, slots=True)
class RequestLimits:
    """What a caller may send, and how long it may take.

    Parameters
    ----------
    max_header_bytes : int
        Largest request head.
    max_body_bytes : int
        Largest request body.
    header_timeout : float
        Seconds within which a request head must be complete.
    idle_timeout : float
        Seconds after which an idle connection is closed.
    """

    max_header_bytes: int = 16384
    max_body_bytes: int = 67108864
    header_timeout: float = 3.0
    idle_timeout: float = 15.0


@dataclass(frozen=True, slots=True)
class Policy:
    """One version of everything that operators declare.

    Parameters
    ----------
    version : int
        Rises with each change.
    route_by_name : mapping of str to RoutePolicy
        All routes.
    service_by_name : mapping of str to ServicePolicy
        All services.
    organisation_by_name : mapping of str to OrganisationPolicy
        All organisations.
    organisation_by_key : mapping of str to str
        Name of the organisation that holds each key.
    limits : RequestLimits
        Bounds for callers.
    """

    version: int
    route_by_name: Mapping[str, RoutePolicy]
    service_by_name: Mapping[str, ServicePolicy]
    organisation_by_name: Mapping[str, OrganisationPolicy]
    organisation_by_key: Mapping[str, str]
    limits: RequestLimits
