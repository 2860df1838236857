"""Sets the gauges of a node when the monitoring system reads them."""

import math
from collections.abc import Callable
from dataclasses import dataclass

from mustardshunt.memory import MemoryAccount
from mustardshunt.relay import BackendConnectionPool, HttpServer
from mustardshunt.sidecar._callee import Callee
from mustardshunt.sidecar._chain_admission import ChainAdmission
from mustardshunt.sidecar._connection_tables import ConnectionTables
from mustardshunt.sidecar._link_manager import LinkManager
from mustardshunt.sidecar._metrics import SidecarMetrics
from mustardshunt.sidecar._resident_memory import ResidentMemory


@dataclass(frozen=True, slots=True)
class GaugeSources:
    """Components whose state the gauges show.

    Parameters
    ----------
    callee : Callee
        Admits calls to the backend server.
    pool : BackendConnectionPool
        Connections to the backend server.
    links : LinkManager
        Links to the other nodes.
    callers : HttpServer
        Connections of callers.
    tables : ConnectionTables
        Open connections by kind.
    memory : MemoryAccount
        Bytes that the node keeps for others.
    resident_memory : ResidentMemory
        Resident memory of the process.
    member_count : callable
        Returns the number of registered nodes that are known.
    chain_admission : ChainAdmission
        Retries and cutoffs of the services that are called.
    """

    callee: Callee
    pool: BackendConnectionPool
    links: LinkManager
    callers: HttpServer
    tables: ConnectionTables
    memory: MemoryAccount
    resident_memory: ResidentMemory
    member_count: Callable[[], int]
    chain_admission: ChainAdmission


class Gauges:
    """Gauges of the state of one node.

    Parameters
    ----------
    metrics : SidecarMetrics
        Metrics of the node.
    sources : GaugeSources
        Components whose state the gauges show.
    """

    def __init__(self, metrics: SidecarMetrics, sources: GaugeSources) -> None:
        self._metrics = metrics
        self._sources = sources

    def refresh(self) -> None:
        """Set all gauges to the present state."""
        self._refresh_gate()
        self._refresh_memory()
        sources = self._sources
        metrics = self._metrics
        metrics.waiting_requests.set(sources.callers.waiting_requests())
        metrics.requests_in_progress.set(sources.callers.requests_in_progress)
        sources.tables.refresh(
            metrics, len(sources.pool), sources.links.open_count()
        )
        callee = sources.callee
        sources.chain_admission.refresh_gauges(
            callee.gate.cutoff.maximum, callee.clock.now()
        )
        metrics.members.labels('known').set(sources.member_count())

    def _refresh_gate(self) -> None:
        callee = self._sources.callee
        status = callee.status()
        rate = callee.gate.named_limit.rate
        gate = self._metrics.gate
        gate.labels('in_flight').set(status.in_flight)
        gate.labels('limit').set(status.limit)
        gate.labels('cutoff').set(status.cutoff)
        gate.labels('request_limit').set(math.nan if rate is None else rate)
        gate.labels('mean_run').set(status.mean_run)
        gate.labels('is_cold').set(status.is_cold)
        gate.labels('is_open').set(callee.gate.is_open())
        gate.labels('late_calls').set(callee.gate.start_rule.refused_calls)
        gate.labels('connections_opened').set(self._sources.pool.opened)

    def _refresh_memory(self) -> None:
        memory = self._sources.memory
        self._sources.resident_memory.refresh()
        self._metrics.large_body_bytes.set(memory.large_bodies.held)
        for part, held in memory.held_by_part.items():
            self._metrics.held_bytes.labels(part.value).set(held)
            self._metrics.given_up.labels(part.value).set(
                memory.given_up_by_part[part]
            )
