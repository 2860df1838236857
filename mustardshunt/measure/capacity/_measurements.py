"""What the command measures, as plain values from which totals follow."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class MessageSizes:
    """Bytes of frames and of bodies of the platform, without headers.

    Parameters
    ----------
    ping : int
        Ping or pong.
    record : float
        One member record in a frame of many.
    head, version_alone : int
        Configuration head; the same without its sections.
    key, organisation, route : float
        One more of it in its section.
    confirmation : int
        Version of one node.
    share_row : int
        Row of a partition in a frame.
    share_list : int
        Answer to a reading of all partitions.
    head_row, vm_row, order_row : int
        Row of the head, of a node, and of an order as written.
    ask, grant, bare_ask : int
        Ask with one report, its grant, and the ask as an array without the
        names of its fields.
    """

    ping: int
    record: float
    head: int
    version_alone: int
    key: float
    organisation: float
    route: float
    confirmation: int
    share_row: int
    share_list: int
    head_row: int
    vm_row: int
    order_row: int
    ask: int
    grant: int
    bare_ask: int


@dataclass(frozen=True, slots=True)
class GrantTrafficCost:
    """Asks, reports and grants of one class of organisations.

    Parameters
    ----------
    name : str
        Name of the class.
    entry_nodes : int
        Nodes over which one organisation's requests are spread.
    requests : int
        Requests that were made.
    messages, message_bytes : float
        Sent between nodes for each request.
    processor : float
        Seconds of the aggregates for each request, the virtual network's
        included.
    """

    name: str
    entry_nodes: int
    requests: int
    messages: float
    message_bytes: float
    processor: float


@dataclass(frozen=True, slots=True)
class Mesh:
    """Links of the fleet at the design size.

    Parameters
    ----------
    links, near_links : float
        Links of one node, and those within its data centre.
    hops : int
        Longest way of a flood.
    """

    links: float
    near_links: float
    hops: int


@dataclass(frozen=True, slots=True)
class ProcessorCosts:
    """Processor seconds; ``baseline`` is one dictionary entry set and removed.

    Parameters
    ----------
    baseline : float
        Unit to which the others are put in proportion.
    tick, tick_member : float
        Tick of the fleet, and for each member.
    wallet_tick : float
        Tick of the wallet for each organisation in use.
    fleet_update, record : float
        Change of the fleet told to holder and wallet; one record taken.
    confirm : float
        Second's duty of the confirmations for each member.
    join, join_key, join_organisation, join_route : float
        Putting a sheet in force.
    message : float
        One message on a link, both ends together.
    """

    baseline: float
    tick: float
    tick_member: float
    wallet_tick: float
    fleet_update: float
    record: float
    confirm: float
    join: float
    join_key: float
    join_organisation: float
    join_route: float
    message: float


@dataclass(frozen=True, slots=True)
class MemoryCosts:
    """Bytes that each more of it takes.

    Parameters
    ----------
    member, organisation, key, route : float
        In the fleet and the router; in the sheet and its sections.
    wallet : float
        Organisation in use at an entry node.
    outcome : float
        Remembered outcome without its body.
    link : float
        Link, both ends together.
    """

    member: float
    organisation: float
    key: float
    route: float
    wallet: float
    outcome: float
    link: float


@dataclass(frozen=True, slots=True)
class ProcessMeasurements:
    """Real node processes; times are those of a shared machine.

    Parameters
    ----------
    idle_alone, idle_fleet : float
        Part of a core of a node alone, and of one in a small fleet.
    fleet_nodes : int
        Nodes of the small fleet.
    memory_alone, memory_fleet : float
        Resident megabytes.
    platform_reads, platform_writes : float
        For each node and second in the small fleet, reporters included.
    added_p99, bare_p99 : float
        Milliseconds added by two nodes and by two bare hops.
    added_p50, bare_p50 : float
        The same for the median.
    call_processor, bare_processor : float
        Processor milliseconds for each call of one node and one bare hop.
    """

    idle_alone: float
    idle_fleet: float
    fleet_nodes: int
    memory_alone: float
    memory_fleet: float
    platform_reads: float
    platform_writes: float
    added_p99: float
    bare_p99: float
    added_p50: float
    bare_p50: float
    call_processor: float
    bare_processor: float


@dataclass(frozen=True, slots=True)
class Measurements:
    """All that is measured.

    Parameters
    ----------
    sizes : MessageSizes
        Bytes of messages.
    mesh : Mesh
        Links.
    near_asks, wide_asks : tuple of GrantTrafficCost
        Requests over the assumed entry nodes, and over all nodes.
    work : ProcessorCosts
        Processor time.
    memory : MemoryCosts
        Memory.
    processes : ProcessMeasurements
        Real processes.
    """

    sizes: MessageSizes
    mesh: Mesh
    near_asks: tuple[GrantTrafficCost, ...]
    wide_asks: tuple[GrantTrafficCost, ...]
    work: ProcessorCosts
    memory: MemoryCosts
    processes: ProcessMeasurements
