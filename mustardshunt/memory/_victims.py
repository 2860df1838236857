"""Chooses which holding gives way when a part of the memory is full."""

import enum
from collections.abc import Iterable
from typing import Final, Protocol, TypeVar

# Bytes up to this size are kept without a reservation.
SMALL_BYTES: Final = 65536


class HeldPart(enum.StrEnum):
    """Part of a node that keeps bytes for others."""

    # Answers that arrive from the backend server.
    ANSWERS = 'answers'
    # Answers that arrive from the platform's store.
    PLATFORM = 'platform'
    # Requests that arrive from callers, and bodies of requests in progress.
    REQUESTS = 'requests'
    # Parsed heads of requests that arrive or are being handled, beyond one
    # small head for each connection.
    HEADS = 'heads'
    # Bodies of admitted calls that have not ended at the backend server.
    CALLS = 'calls'
    # Frames of other nodes that arrive, and frames that a peer has not read.
    LINKS = 'links'
    # Responses that their callers have not read.
    RESPONSES = 'responses'
    # Results that are kept in case the link of their sender is lost.
    RESULTS = 'results'


class Candidate(Protocol):
    """Holding that may have to give way."""

    @property
    def held(self) -> int:
        """Number of bytes that the holding keeps."""
        ...

    @property
    def is_stated(self) -> bool:
        """Whether the size was stated before the bytes arrived."""
        ...

    @property
    def can_give_way(self) -> bool:
        """Whether the bytes can be given up."""
        ...


CandidateT = TypeVar('CandidateT', bound=Candidate)


class VictimChoice(Protocol):
    """Rule by which one holding of a full part is chosen to give way."""

    def choose(self, holdings: Iterable[CandidateT]) -> CandidateT | None:
        """Return the holding that gives way, None if none can.

        Parameters
        ----------
        holdings : iterable of Candidate
            Holdings of the part, the one that has kept bytes longest first.
        """
        ...


def is_endless(holding: Candidate) -> bool:
    """Tell whether the bytes of a holding may come without end."""
    return not holding.is_stated and holding.held > SMALL_BYTES


class LargestUnstated:
    """Chooses the largest holding of unstated size, then the largest one.

    Only bytes of unstated size can come without end. A large answer whose
    length was stated has its room from the start and is kept. Small holdings
    give way last, whether their size was stated or not.
    """

    def choose(self, holdings: Iterable[CandidateT]) -> CandidateT | None:
        """Return the holding that gives way, None if none can."""
        chosen: CandidateT | None = None
        for holding in holdings:
            if not holding.can_give_way:
                continue
            if chosen is None or _rank(holding) > _rank(chosen):
                chosen = holding
        return chosen


class LongestHeld:
    """Chooses the holding that has kept bytes without a break for longest.

    A reader that keeps up empties its holding again and again, so a large
    response to it is not given up for many small ones that nobody reads.
    """

    def choose(self, holdings: Iterable[CandidateT]) -> CandidateT | None:
        """Return the holding that gives way, None if none can."""
        for holding in holdings:
            if holding.can_give_way:
                return holding
        return None


def _rank(holding: Candidate) -> tuple[bool, int]:
    return is_endless(holding), holding.held
