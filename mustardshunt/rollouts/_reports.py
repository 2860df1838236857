"""Reports of the nodes beside the upstreams of a service, and their sums."""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Final

from mustardshunt.rollouts._evidence import (
    RouteEvidence,
    VersionEvidence,
    relative_durations,
)

# Time after which a report tells nothing of the present state of an upstream.
FRESH_SECONDS: Final = 1.0
# Reports that are kept; services have far fewer upstreams.
MAX_REPORTS: Final = 2048


@dataclass(frozen=True, slots=True)
class UpstreamReport:
    """State of one upstream, and its answers since the order became known.

    Parameters
    ----------
    node : str
        Name of the node beside the upstream.
    incarnation : str
        Process of the node.
    sequence : int
        Number of the report, which rises within a process.
    service : str
        Service of the upstream.
    version : str
        Version of the upstream.
    target : str
        Target of the rollout for which the answers are counted.
    started_at : int
        Start of the upstream in milliseconds, -1 if unknown.
    is_ready : bool
        Whether the upstream takes calls, as far as it knows.
    is_cold : bool
        Whether the upstream is in its cold start.
    in_flight : int
        Calls that run or are queued.
    is_fused : bool
        Whether the node has closed the upstream for its bad answers.
    evidence : VersionEvidence
        Answers since the order became known to this process.
    """

    node: str
    incarnation: str
    sequence: int
    service: str
    version: str
    target: str
    started_at: int
    is_ready: bool
    is_cold: bool
    in_flight: int
    is_fused: bool
    evidence: VersionEvidence


@dataclass(frozen=True, slots=True)
class HeardReport:
    """A report with the time at which it arrived.

    Parameters
    ----------
    report : UpstreamReport
        The report.
    heard_at : float
        Time in seconds.
    """

    report: UpstreamReport
    heard_at: float


class ReportTable:
    """The last report of each process of a node.

    A report holds all answers since the order became known, so that a lost one
    is made up for by the next. What an ended process has counted stays.
    """

    def __init__(self) -> None:
        self._heard_by_process: dict[tuple[str, str], HeardReport] = {}

    def add(self, report: UpstreamReport, now: float) -> None:
        """Use a report unless a later one of the process is known."""
        # An upstream that was replaced by one of another version is another
        # source, though the node goes on.
        process = (report.incarnation, report.version)
        known = self._heard_by_process.get(process)
        if known is not None and known.report.sequence >= report.sequence:
            return
        if known is None and len(self._heard_by_process) >= MAX_REPORTS:
            return
        self._heard_by_process[process] = HeardReport(report, now)

    def evidence(self, version: str) -> VersionEvidence:
        """Return the sum of the answers of one version."""
        total = VersionEvidence()
        for heard in self._heard_by_process.values():
            if heard.report.version == version:
                total = total.plus(heard.report.evidence)
        return total

    def relative(self, version: str) -> RouteEvidence:
        """Return the durations of one version relative to the medians.

        The medians are those of each upstream on each route.
        """
        total = RouteEvidence()
        for report in self._reports():
            if report.version != version:
                continue
            for route in report.evidence.by_route.values():
                total = total.plus(relative_durations(route))
        return total

    def fresh(self, version: str, now: float) -> list[UpstreamReport]:
        """Return the recent reports of upstreams of one version, by node."""
        by_node: dict[str, HeardReport] = {}
        for heard in self._heard_by_process.values():
            if heard.report.version != version:
                continue
            if now - heard.heard_at > FRESH_SECONDS:
                continue
            known = by_node.get(heard.report.node)
            if known is None or known.heard_at <= heard.heard_at:
                by_node[heard.report.node] = heard
        return [by_node[node].report for node in sorted(by_node)]

    def versions(self) -> dict[str, int]:
        """Return the versions that were reported, with their first start."""
        first_by_version: dict[str, int] = {}
        for report in self._reports():
            start = report.started_at if report.started_at >= 0 else 2**63
            first_by_version[report.version] = min(
                start, first_by_version.get(report.version, start)
            )
        return first_by_version

    def is_any_fused(self, version: str) -> bool:
        """Tell whether a node has closed an upstream for its bad answers."""
        return any(
            report.is_fused
            for report in self._reports()
            if report.version == version
        )

    def _reports(self) -> Iterable[UpstreamReport]:
        for heard in self._heard_by_process.values():
            yield heard.report
