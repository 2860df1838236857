"""Measured sizes and costs, from which the estimates are derived."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class MessageSizes:
    """Bytes of frames, and of bodies of platform requests, without headers.

    Parameters
    ----------
    ping : int
        Ping or pong frame.
    record : float
        One member record, in a frame with many records.
    head, version_alone : int
        Head (record of a sheet version: its number and the digests of its
        sections), and a head without the digests.
    key, organisation, route : float
        One additional entry in the sheet section for this kind of entry.
    confirmation : int
        Frame with the configuration version of one node.
    share_row : int
        Frame with the share row of one partition.
    share_list : int
        Platform answer with the share rows of all partitions.
    head_row, vm_row, order_row : int
        Platform row of the configuration head, of a node, and of an order
        with an idempotency key.
    ask, grant, bare_ask : int
        Token request with one report, the grant that answers the request, and
        the same request encoded as an array without field names.
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
    """Cost of token requests and grants for one class of organisations.

    Parameters
    ----------
    name : str
        Name of the class.
    entry_nodes : int
        Number of nodes that receive the requests of one organisation.
    requests : int
        Number of simulated requests.
    messages, message_bytes : float
        Messages and bytes sent between nodes for each request.
    processor : float
        Processor seconds of the decisions for each request, including the
        simulated network.
    """

    name: str
    entry_nodes: int
    requests: int
    messages: float
    message_bytes: float
    processor: float


@dataclass(frozen=True, slots=True)
class Mesh:
    """Links between all nodes at the design size.

    Parameters
    ----------
    links, near_links : float
        Mean number of links of one node, to all nodes and to nodes of the same
        data centre.
    hops : int
        Largest number of hops until a flooded message has reached all nodes.
    """

    links: float
    near_links: float
    hops: int


@dataclass(frozen=True, slots=True)
class ProcessorCosts:
    """Processor seconds for each unit of work.

    Parameters
    ----------
    baseline : float
        Setting and removing one dictionary entry, the unit with which the
        other costs are compared.
    tick, tick_member : float
        Membership tick without members, and its increase for each member.
    wallet_tick : float
        Tick of the token cache for each organisation in use.
    fleet_update, record : float
        Change of the nodes that may hold shares, handled by a node that holds
        shares and by the token cache; one received member record.
    confirm : float
        Selection of the reporter, done every second, for each node of the
        data centre.
    join, join_key, join_organisation, join_route : float
        Activation of a small sheet, and its increase for each key,
        organisation and route.
    message : float
        One message on a link, sender and receiver together.
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
    """Bytes of memory for each additional item.

    Parameters
    ----------
    member, organisation, key, route : float
        One member in the membership and the router; one organisation, key or
        route in the sheet and its sections.
    wallet : float
        One organisation whose requests an entry node receives, in the token
        cache of this node.
    outcome : float
        Recorded outcome of a call, without the body of its answer.
    link : float
        Open link, both ends together.
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
    """Measurements of real node processes on a shared machine.

    Parameters
    ----------
    idle_alone, idle_fleet : float
        Fraction of a core that an idle node uses, alone and among
        ``fleet_nodes`` nodes.
    fleet_nodes : int
        Number of nodes that run together.
    memory_alone, memory_fleet : float
        Resident megabytes of a node, alone and among ``fleet_nodes`` nodes.
    platform_reads, platform_writes : float
        Requests for each node and second among ``fleet_nodes`` nodes, including
        the requests of reporters.
    added_p99, bare_p99 : float
        Milliseconds that two nodes, and two plain forwarding hops, add to the
        p99 latency of a direct call.
    added_p50, bare_p50 : float
        Milliseconds that two nodes, and two plain forwarding hops, add to the
        median latency of a direct call.
    call_processor, bare_processor : float
        Processor milliseconds for each call, of one node and of one plain
        forwarding hop.
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
    """All measurements that the estimates are derived from.

    Parameters
    ----------
    sizes : MessageSizes
        Sizes of messages.
    mesh : Mesh
        Links between nodes.
    near_asks, wide_asks : tuple of GrantTrafficCost
        Grant traffic with requests over the assumed number of entry nodes,
        and with requests over all nodes.
    work : ProcessorCosts
        Processor time of the decisions and of messages.
    memory : MemoryCosts
        Memory of the state of a node.
    processes : ProcessMeasurements
        Measurements of real node processes.
    """

    sizes: MessageSizes
    mesh: Mesh
    near_asks: tuple[GrantTrafficCost, ...]
    wide_asks: tuple[GrantTrafficCost, ...]
    work: ProcessorCosts
    memory: MemoryCosts
    processes: ProcessMeasurements
