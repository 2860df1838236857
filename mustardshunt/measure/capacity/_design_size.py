"""Design size, assumptions and limits of the capacity estimates."""

from dataclasses import dataclass
from typing import Final

SECONDS_PER_DAY: Final = 86_400


@dataclass(frozen=True, slots=True)
class OrganisationClass:
    """Class of organisations with the same limits and load.

    Parameters
    ----------
    name : str
        Name in the tables.
    organisations : int
        Number of organisations in the class.
    rate, burst : float
        Rate limit of each organisation in requests per second, and its burst.
    load : float
        Requests that each organisation sends, as a fraction of its rate.
    """

    name: str
    organisations: int
    rate: float
    burst: float
    load: float

    @property
    def requests(self) -> float:
        """Requests per second of all organisations in the class."""
        return self.organisations * self.rate * self.load


@dataclass(frozen=True, slots=True)
class DesignSize:
    """Size of the system that the estimates are for.

    The numbers come from section 1.4 of the design, except those called an
    assumption.

    Parameters
    ----------
    nodes, data_centres, services : int
        As in the design.
    calls_per_second : float
        Calls per second at all depths, as in the design.
    config_changes_per_day : float
        Configuration changes a day, as in the design.
    vm_replacements_per_day : float
        VMs replaced a day, as in the design.
    classes : tuple of OrganisationClass
        Assumption: classes of organisations, whose callers send the requests.
        All other calls are child calls of backend servers, two for each
        request.
    keys, routes : int
        Assumption: 5 keys for each organisation, 10 routes for each service.
    entry_nodes : int
        Assumption: nodes to which the callers of one organisation connect.
    keyed_orders_per_second : float
        Assumption: orders per second with an idempotency key.
    non_idempotent_fraction : float
        Assumption: fraction of all calls that is not idempotent.
    answer_bytes : int
        Assumption: bytes of the body of an answer.
    record_changes_per_replacement : float
        Assumption: changes of member records for each VM replaced.
    key_change_fraction : float
        Assumption: fraction of the configuration changes that change one shard
        of keys. All other changes concern the organisations.
    packet_bytes : int
        Assumption: bytes of websocket, TCP and IP headers for each message.
    http_bytes : int
        Assumption: bytes of headers of a platform request and its answer.
    """

    nodes: int = 940
    data_centres: int = 7
    services: int = 46
    calls_per_second: float = 120_000
    config_changes_per_day: float = 530
    vm_replacements_per_day: float = 120
    classes: tuple[OrganisationClass, ...] = (
        OrganisationClass('large', 20, 2400, 2400, 0.5),
        OrganisationClass('middle', 200, 120, 120, 0.5),
        OrganisationClass('small', 1780, 5, 5, 0.45),
    )
    keys: int = 10_000
    routes: int = 460
    entry_nodes: int = 21
    keyed_orders_per_second: float = 200
    non_idempotent_fraction: float = 0.05
    answer_bytes: int = 1024
    record_changes_per_replacement: float = 6
    key_change_fraction: float = 0.5
    packet_bytes: int = 54
    http_bytes: int = 400

    @property
    def organisations(self) -> int:
        """Number of organisations in all classes."""
        return sum(
            organisation_class.organisations
            for organisation_class in self.classes
        )

    @property
    def requests(self) -> float:
        """Requests per second of all callers."""
        return sum(
            organisation_class.requests for organisation_class in self.classes
        )

    @property
    def nodes_per_data_centre(self) -> float:
        """Mean number of nodes in one data centre."""
        return self.nodes / self.data_centres


@dataclass(frozen=True, slots=True)
class Limits:
    """Limits stated in the design, for one node unless noted otherwise.

    Parameters
    ----------
    processor : float
        Fraction of a core used for control.
    memory : float
        Resident memory in megabytes.
    control_bytes : float
        Bytes per second for control.
    platform_writes, platform_reads : float
        Requests per second of all nodes. For the "several hundred" writes of
        the design, 500 is used.
    propagation_seconds : float
        Seconds until a configuration change is active on all nodes.
    added_p99 : float
        Milliseconds that two nodes add to the p99 latency of a call.
    """

    processor: float = 0.012
    memory: float = 128
    control_bytes: float = 3000
    platform_writes: float = 500
    platform_reads: float = 2000
    propagation_seconds: float = 7
    added_p99: float = 0.42
