"""The size to design for, what it leaves open, and the limits."""

from dataclasses import dataclass
from typing import Final

SECONDS_PER_DAY: Final = 86_400


@dataclass(frozen=True, slots=True)
class OrganisationClass:
    """Organisations of one size.

    Parameters
    ----------
    name : str
        Name in the tables.
    organisations : int
        Number of them.
    rate, burst : float
        Limits of each.
    load : float
        Requests that each sends, as a part of its rate.
    """

    name: str
    organisations: int
    rate: float
    burst: float
    load: float

    @property
    def requests(self) -> float:
        """Requests per second of all of them."""
        return self.organisations * self.rate * self.load


@dataclass(frozen=True, slots=True)
class DesignSize:
    """Section 1.4 of the design, and assumptions on what it leaves open.

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
        Assumption. Their requests are those of callers; the other calls are
        child calls of backend servers, here two for each request.
    keys, routes : int
        Assumption: 5 keys for each organisation, 10 routes for each service.
    entry_nodes : int
        Assumption: nodes that one organisation's callers keep connections to.
    keyed_orders_per_second : float
        Assumption: orders per second with an idempotency key.
    non_idempotent_fraction : float
        Assumption: part of all calls that is not idempotent.
    answer_bytes : int
        Assumption: body of an answer.
    record_changes_per_replacement : float
        Assumption: changes of member records for each VM replaced.
    key_change_fraction : float
        Assumption: part of the configuration changes that touches one shard
        of keys; the others touch the organisations.
    packet_bytes : int
        Assumption: headers of websockets, TCP and IP for each message.
    http_bytes : int
        Assumption: headers of a request to the platform and its answer.
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
        """Organisations of all classes."""
        return sum(found.organisations for found in self.classes)

    @property
    def requests(self) -> float:
        """Requests of callers per second."""
        return sum(found.requests for found in self.classes)

    @property
    def nodes_per_data_centre(self) -> float:
        """Nodes of one data centre."""
        return self.nodes / self.data_centres


@dataclass(frozen=True, slots=True)
class Limits:
    """Targets of the design, for one node unless said otherwise.

    Parameters
    ----------
    processor : float
        Part of a core for control.
    memory : float
        Megabytes.
    control_bytes : float
        Bytes per second for control.
    platform_writes, platform_reads : float
        Per second, for the whole fleet; "several hundred" is taken as 500.
    propagation_seconds : float
        Until a change is in force everywhere.
    added_p99 : float
        Milliseconds.
    """

    processor: float = 0.012
    memory: float = 128
    control_bytes: float = 3000
    platform_writes: float = 500
    platform_reads: float = 2000
    propagation_seconds: float = 7
    added_p99: float = 0.42
