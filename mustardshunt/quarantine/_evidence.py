"""How a node combines crash reports of other nodes with its own evidence."""

from dataclasses import dataclass
from typing import Final, Protocol

# The suspicion level of a request measures the evidence that the request
# crashes backend servers. A crash while the request is in flight adds 4 to the
# level. A call of the request that ends without a crash subtracts 1. On average
# the level rises if more than 1 in 5 calls end in a crash, and falls if fewer
# do.
CRASH_INCREMENT: Final = 4
FINISH_DECREMENT: Final = 1
# Lowest suspicion level, and the level from which a request is refused. Calls
# without a crash lower the level, which protects a frequent harmless request
# that is in flight at each crash. With the lowest level of -8, such calls make
# up for at most two later crashes. A request that begins to crash backend
# servers is therefore still detected soon.
MIN_SUSPICION_LEVEL: Final = -8
QUARANTINE_THRESHOLD: Final = 8
# Level after the third crash. Where nodes do not hear of each other's crashes,
# suspects cannot be kept apart, so one more crash is needed to tell them.
COLLECTED_THRESHOLD: Final = 12


class EvidenceRule(Protocol):
    """Combines the evidence of several nodes.

    Attributes
    ----------
    threshold : int
        Suspicion level from which a request is quarantined.
    highest_level : int
        Highest suspicion level that is stored.
    report_size : int
        Most suspects in one crash report.
    """

    @property
    def threshold(self) -> int:
        """Suspicion level from which a request is quarantined."""
        ...

    @property
    def highest_level(self) -> int:
        """Highest suspicion level that is stored."""
        ...

    @property
    def report_size(self) -> int:
        """Most suspects in one crash report."""
        ...

    def applies(self, service: str) -> bool:
        """Tell whether crashes of a service count at this node."""
        ...

    def combine(self, level: int | None, reported: int) -> int:
        """Return the suspicion level after a report of another node.

        Parameters
        ----------
        level : int or None
            Level at this node, None if the request is not known.
        reported : int
            Level at the reporting node after the crash.
        """
        ...


@dataclass(frozen=True, slots=True)
class SharedEvidence:
    """Rule where each report reaches all nodes of the service.

    A report never raises a level above the level at the reporting node. That
    node may have seen calls without a crash that this node has not seen.

    Parameters
    ----------
    service : str
        Service of this node's backend server.
    """

    service: str
    threshold: int = QUARANTINE_THRESHOLD
    highest_level: int = QUARANTINE_THRESHOLD
    report_size: int = 64

    def applies(self, service: str) -> bool:
        """Tell whether a service is the one of this node's backend server."""
        return service == self.service

    def combine(self, level: int | None, reported: int) -> int:
        """Return the level after a report; see ``EvidenceRule``.

        Examples
        --------
        >>> rule = SharedEvidence('stock')
        >>> rule.combine(None, 8), rule.combine(4, 4), rule.combine(4, 8)
        (8, 4, 8)
        """
        if level is None:
            return reported
        return max(level, min(level + CRASH_INCREMENT, reported))


@dataclass(frozen=True, slots=True)
class CollectedEvidence:
    """Rule where only few nodes get the reports, and tell their verdict.

    The reporting node does not know of crashes elsewhere, so that its crash
    adds to those that this node has counted. If the reporting node has seen the
    request end without a crash, its level bounds the sum.

    A quarantined request may be sent by nodes that have seen it end without a
    crash; further crashes raise the level until these are outweighed too.
    """

    threshold: int = COLLECTED_THRESHOLD
    highest_level: int = COLLECTED_THRESHOLD - MIN_SUSPICION_LEVEL
    report_size: int = 512

    def applies(self, service: str) -> bool:
        """Return True: each node may be an entry of requests for a service."""
        return True

    def combine(self, level: int | None, reported: int) -> int:
        """Return the level after a report; see ``EvidenceRule``.

        Examples
        --------
        >>> rule = CollectedEvidence()
        >>> rule.combine(None, 4), rule.combine(8, 4), rule.combine(4, 12)
        (4, 12, 12)
        >>> rule.combine(4, -4), rule.combine(-8, 4)
        (4, -4)
        """
        known = level or 0
        if reported < CRASH_INCREMENT:
            return SharedEvidence('').combine(level, reported)
        if known < 0:
            return known + CRASH_INCREMENT
        return max(known + CRASH_INCREMENT, reported)
