"""Selection of the holders that token requests go to, with the amounts."""

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Protocol

from mustardshunt.base import Incarnation


@dataclass(frozen=True, slots=True)
class Candidate:
    """Holder that a token request may go to.

    Parameters
    ----------
    holder : Incarnation
        Node that holds a share.
    capacity : int
        The holder's part of the organisation's burst, in millionths of a
        token.
    distance : int
        0 for the requesting node itself, 1 within its data centre, 2 elsewhere.
    rank : int
        Rank by rendezvous hashing, which differs between requesting nodes, so
        that their requests are spread over holders at the same distance.
    """

    holder: Incarnation
    capacity: int
    distance: int
    rank: int


class HolderSelection(Protocol):
    """Rule that selects the holders to request tokens from."""

    def arrange(self, candidates: Sequence[Candidate]) -> list[Candidate]:
        """Return the candidates in the order of selection."""
        ...

    def is_sufficient(self, tokens_needed: int, capacity: int) -> bool:
        """Tell whether the selected holders suffice for a request.

        Parameters
        ----------
        tokens_needed : int
            Requested amount in millionths of a token.
        capacity : int
            Part of the burst that the selected holders have together, in
            millionths of a token.
        """
        ...


class NearestFirst:
    """Selects as few holders as suffice, the nearest first."""

    def arrange(self, candidates: Sequence[Candidate]) -> list[Candidate]:
        """Return the candidates by distance, then by rank."""
        return sorted(
            candidates,
            key=lambda candidate: (candidate.distance, candidate.rank),
        )

    def is_sufficient(self, tokens_needed: int, capacity: int) -> bool:
        """Require twice the amount, because some tokens are already spent."""
        return capacity >= tokens_needed * 2


class ProportionalToShare:
    """Selects all holders, each for an amount in proportion to its share.

    This rule is for organisations with a burst of only a few tokens per holder.
    If only some holders received requests, their buckets would be empty while
    the buckets of the others were full and accrued nothing. When all holders
    are used evenly, their buckets accrue tokens like a single bucket.
    """

    def arrange(self, candidates: Sequence[Candidate]) -> list[Candidate]:
        """Return the candidates in the given order."""
        return list(candidates)

    def is_sufficient(self, tokens_needed: int, capacity: int) -> bool:
        """Return False, so that all holders are selected."""
        return False


def split_request(
    tokens_needed: int,
    candidates: Sequence[Candidate],
    selection: HolderSelection,
) -> list[tuple[Incarnation, int]]:
    """Split a needed amount over the selected holders.

    Parameters
    ----------
    tokens_needed : int
        Needed amount in millionths of a token.
    candidates : sequence of Candidate
        Holders that a request may go to now.
    selection : HolderSelection
        Rule that selects the holders.

    Returns
    -------
    list of (Incarnation, int)
        Selected holders and the amount for each, in millionths of a token. The
        amount is in proportion to the holder's part of the burst and rounded
        up.

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
    chosen_capacity = 0
    for candidate in selection.arrange(candidates):
        chosen.append(candidate)
        chosen_capacity += candidate.capacity
        if selection.is_sufficient(tokens_needed, chosen_capacity):
            break
    return [
        (asked.holder, -(-tokens_needed * asked.capacity // chosen_capacity))
        for asked in chosen
    ]
