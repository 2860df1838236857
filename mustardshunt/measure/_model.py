"""Deployments, scenarios and controls as data."""

from collections.abc import Mapping
from dataclasses import dataclass

from mustardshunt.base import Importance


@dataclass(frozen=True, slots=True)
class ServiceSpec:
    """One service and its backend servers.

    Parameters
    ----------
    servers : int
        Backend servers.
    slots : int
        Calls that one backend server runs at once, waiting ones included.
    connections : int
        Connections that one backend server accepts; it sheds beyond them.
    knee : int
        Calls that one backend server works on at once at full speed.
    service_time : float
        Mean self time below the knee.
    child : str, default=''
        Service that each call calls in turn.
    """

    servers: int
    slots: int
    connections: int
    knee: int
    service_time: float
    child: str = ''

    @property
    def capacity(self) -> float:
        """Calls per second of all backend servers together."""
        return self.servers * self.knee / self.service_time


@dataclass(frozen=True, slots=True)
class RequestKind:
    """One kind of request.

    Parameters
    ----------
    service : str
        Service at which it enters.
    importance : Importance
        Importance of its route.
    fraction : float
        Part of all requests.
    """

    service: str
    importance: Importance
    fraction: float


@dataclass(frozen=True, slots=True)
class Deployment:
    """Services, kinds of requests and organisations of one user.

    Parameters
    ----------
    name : str
        Name.
    data_centres : int
        Data centres; backend servers are spread over them in turn.
    deepest_service : str
        Service at the end of the chains, where the triggers happen.
    service_by_name : mapping of str to ServiceSpec
        Services.
    kinds : tuple of RequestKind
        Kinds of requests; the portions sum to 1.
    organisation_weights : tuple of float
        Part of the requests that each organisation sends; they sum to 1.
    steady_load : float, default=0.7
        Requests offered over capacity in steady state.
    rate_factor : float, default=4.5
        Rate of an organisation over what it sends in steady state.
    caller_timeout : float, default=2.0
        Seconds that a caller waits for a request, retries included.
    """

    name: str
    data_centres: int
    deepest_service: str
    service_by_name: Mapping[str, ServiceSpec]
    kinds: tuple[RequestKind, ...]
    organisation_weights: tuple[float, ...]
    steady_load: float = 0.7
    rate_factor: float = 4.5
    caller_timeout: float = 2.0

    def chain(self, service: str) -> tuple[str, ...]:
        """Return the services that a call passes through."""
        names = [service]
        while self.service_by_name[names[-1]].child:
            names.append(self.service_by_name[names[-1]].child)
        return tuple(names)

    def bottleneck(self, kind: RequestKind) -> str:
        """Return the service with the least capacity for a kind."""
        return min(
            self.chain(kind.service),
            key=lambda name: self.service_by_name[name].capacity,
        )

    @property
    def request_capacity(self) -> float:
        """Requests per second of the usual mix that can be answered."""
        portions = (
            kind.fraction
            for kind in self.kinds
            if self.bottleneck(kind) == self.deepest_service
        )
        return self.service_by_name[self.deepest_service].capacity / sum(
            portions
        )


@dataclass(frozen=True, slots=True)
class Scenario:
    """One trigger; neutral defaults.

    Parameters
    ----------
    name : str
        Name.
    trigger_seconds : float
        How long the trigger lasts.
    surge : float, default=0.0
        Requests offered over capacity while it lasts, 0 for the usual ones.
    slowdown : float, default=1.0
        Factor on the self time of the deep service.
    noisy_factor : float, default=0.0
        Requests of the first organisation over its rate, 0 for the usual.
    cold_servers : int, default=0
        Backend servers of the deep service that turn cold at the start.
    data_centre_leaves : bool, default=False
        Whether the first data centre leaves and returns at the end, cold.
    resends_failed : bool, default=False
        Whether requests that fail are all sent again at the end.
    """

    name: str
    trigger_seconds: float
    surge: float = 0.0
    slowdown: float = 1.0
    noisy_factor: float = 0.0
    cold_servers: int = 0
    data_centre_leaves: bool = False
    resends_failed: bool = False


@dataclass(frozen=True, slots=True)
class ControlVariant:
    """Which mechanisms are on.

    Parameters
    ----------
    name : str
        Name.
    uses_admission_control : bool, default=True
        Whether the gate's own mechanisms are used at all.
    adaptive, importance, fair, level, ramp : bool, default=True
        Adaptive limit, importance order, fairness between organisations,
        acceptance level at the first hop, cold-start ramp.
    has_static_limit : bool, default=True
        For baselines, whether there is a static limit.
    """

    name: str
    uses_admission_control: bool = True
    adaptive: bool = True
    importance: bool = True
    fair: bool = True
    level: bool = True
    ramp: bool = True
    has_static_limit: bool = True
