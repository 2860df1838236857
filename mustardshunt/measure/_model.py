"""Data classes of deployments, scenarios and control variants."""

from collections.abc import Mapping
from dataclasses import dataclass

from mustardshunt.base import Importance


@dataclass(frozen=True, slots=True)
class ServiceSpec:
    """One service and its backend servers.

    Parameters
    ----------
    servers : int
        Number of backend servers.
    slots : int
        Calls that one backend server runs at once, including those that
        wait for their child call.
    connections : int
        Calls that one backend server holds at once, running or queued. The
        backend server sheds further calls.
    knee : int
        Largest number of calls that one backend server processes at once
        without slowing down.
    service_time : float
        Mean self time of a call in seconds, up to the knee.
    child : str, default=''
        Service to which each call sends one child call, empty for none.
    """

    servers: int
    slots: int
    connections: int
    knee: int
    service_time: float
    child: str = ''

    @property
    def capacity(self) -> float:
        """Calls per second that all backend servers process together."""
        return self.servers * self.knee / self.service_time


@dataclass(frozen=True, slots=True)
class RequestKind:
    """Requests of one importance that enter at one service.

    Parameters
    ----------
    service : str
        Service that the callers send the request to.
    importance : Importance
        Importance of the route of the request.
    fraction : float
        Fraction of all requests that are of this kind.
    """

    service: str
    importance: Importance
    fraction: float


@dataclass(frozen=True, slots=True)
class Deployment:
    """Services, kinds of requests and organisations of one simulated user.

    Parameters
    ----------
    name : str
        Name in the results.
    data_centres : int
        Number of data centres; backend servers are assigned to them round
        robin.
    deepest_service : str
        Service at the end of the call chains, which the scenarios slow down
        or turn cold.
    service_by_name : mapping of str to ServiceSpec
        Services.
    kinds : tuple of RequestKind
        Kinds of requests; their fractions sum to 1.
    organisation_weights : tuple of float
        Fraction of the requests that each organisation sends; they sum to 1.
    steady_load : float, default=0.7
        Requests offered in steady state, as a fraction of the capacity.
    rate_factor : float, default=4.5
        Rate limit of an organisation, as a multiple of the requests that it
        sends in steady state.
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
        """Return a service and all services that its child calls reach."""
        names = [service]
        while self.service_by_name[names[-1]].child:
            names.append(self.service_by_name[names[-1]].child)
        return tuple(names)

    def bottleneck(self, kind: RequestKind) -> str:
        """Return the service with the least capacity in a request's chain."""
        return min(
            self.chain(kind.service),
            key=lambda name: self.service_by_name[name].capacity,
        )

    @property
    def request_capacity(self) -> float:
        """Requests per second that the services can process.

        The requests have the usual mix of kinds. The deepest service limits the
        rate.
        """
        fractions = (
            kind.fraction
            for kind in self.kinds
            if self.bottleneck(kind) == self.deepest_service
        )
        return self.service_by_name[self.deepest_service].capacity / sum(
            fractions
        )


@dataclass(frozen=True, slots=True)
class Scenario:
    """Trigger of overload in a run.

    The default values leave the load unchanged.

    Parameters
    ----------
    name : str
        Name in the results.
    trigger_seconds : float
        Duration of the trigger.
    surge : float, default=0.0
        Requests offered during the trigger, as a multiple of the capacity;
        0 for the steady load.
    slowdown : float, default=1.0
        Factor on the self time of the deepest service during the trigger.
    noisy_factor : float, default=0.0
        Requests of the first organisation during the trigger, as a multiple
        of its rate limit; 0 for the steady load.
    cold_servers : int, default=0
        Backend servers of the deepest service that turn cold when the
        trigger starts.
    data_centre_leaves : bool, default=False
        Whether the first data centre is out of service during the trigger. Its
        backend servers are cold when the data centre returns.
    resends_failed : bool, default=False
        Whether all requests that failed during the trigger are sent again
        at its end.
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
    """Selects the mechanisms of overload control that a run uses.

    Parameters
    ----------
    name : str
        Name in the results.
    uses_admission_control : bool, default=True
        Whether the project's admission control is used; False for the
        baselines.
    adaptive, importance, fair, shedding, ramp : bool, default=True
        Whether these mechanisms are on, in this order: adaptive concurrency
        limit, order by importance, fairness between organisations, refusal at
        the first hop by the nodes' shedding thresholds, cold-start ramp.
    has_static_limit : bool, default=True
        Whether a baseline limits concurrency to the slots of the backend
        server; False for no limit.
    """

    name: str
    uses_admission_control: bool = True
    adaptive: bool = True
    importance: bool = True
    fair: bool = True
    shedding: bool = True
    ramp: bool = True
    has_static_limit: bool = True
