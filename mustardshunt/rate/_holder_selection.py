"""Which holders a wallet asks, in which order and for how much."""

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Protocol

from mustardshunt.base import Incarnation


@dataclass(frozen=True, slots=True)
class Candidate:
    """A holder that may be asked.

    Parameters
    ----------
    holder : Incarnation
        The holder.
    capacity : int
        Its part of the organisation's burst, in millionths of a token.
    distance : int
        0 for the wallet's own node, 1 within its data centre, 2 elsewhere.
    rank : int
        Place in the wallet's own rendezvous order, which spreads wallets
        over holders at the same distance.
    """

    holder: Incarnation
    capacity: int
    distance: int
    rank: int


class HolderSelection(Protocol):
    """Order in which the holders of an organisation are asked."""

    def arrange(self, candidates: Sequence[Candidate]) -> list[Candidate]:
        """Return the candidates, first to ask first."""
        ...

    def is_sufficient(self, need: int, capacity: int) -> bool:
        """Tell whether a burst part is enough to be asked for a need."""
        ...


class NearestFirst:
    """Own node, own data centre, then the others, as few as will do."""

    def arrange(self, candidates: Sequence[Candidate]) -> list[Candidate]:
        """Return the candidates by distance."""
        return sorted(candidates, key=lambda one: (one.distance, one.rank))

    def is_sufficient(self, need: int, capacity: int) -> bool:
        """Ask for at most half a part, since some of it is used up."""
        return capacity >= need * 2


class ProportionalToShare:
    """All holders at once, each for its part.

    For organisations whose burst part is a few tokens or less: drawing from
    some holders would empty those while the others stay full and accrue
    nothing. Drawn on evenly, all accrue alike, as one bucket would.
    """

    def arrange(self, candidates: Sequence[Candidate]) -> list[Candidate]:
        """Return the candidates as they are."""
        return list(candidates)

    def is_sufficient(self, need: int, capacity: int) -> bool:
        """Never stop before the last holder."""
        return False


def split_request(
    tokens_needed: int,
    candidates: Sequence[Candidate],
    ordering: HolderSelection,
) -> list[tuple[Incarnation, int]]:
    """Split a need over the holders to be asked together.

    Parameters
    ----------
    tokens_needed : int
        Millionths of a token.
    candidates : sequence of Candidate
        Holders that may be asked now.
    ordering : HolderSelection
        Which are asked first, and how many.

    Returns
    -------
    list of (Incarnation, int)
        Holders and what to ask of each, in proportion to their parts.

    Examples
    --------
    >>> near = Candidate(Incarnation('a'), 300, 0, 0)
    >>> far = Candidate(Incarnation('b'), 900, 2, 0)
    >>> split_request(100, [far, near], NearestFirst())
    [('a', 100)]
    >>> split_request(100, [near, far], ProportionalToShare())
    [('a', 25), ('b', 75)]
    """
    chosen: list[Candidate] = []
    cover = 0
    for candidate in ordering.arrange(candidates):
        chosen.append(candidate)
        cover += candidate.capacity
        if ordering.is_sufficient(tokens_needed, cover):
            break
    return [
        (asked.holder, -(-tokens_needed * asked.capacity // cover))
        for asked in chosen
    ]
