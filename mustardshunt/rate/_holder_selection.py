"""Selects the holders to request tokens from, and the amounts.

A holder is a node that holds a share of an organisation's rate and grants
tokens from it.
"""

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
        0 when the holder is the requesting node itself, 1 when the holder is in
        the same data centre, 2 otherwise.
    rank : int
        Rank by rendezvous hashing. The rank of a holder differs between
        requesting nodes, so that requests are spread over the holders at the
        same distance.
    """

    holder: Incarnation
    capacity: int
    distance: int
    rank: int


class HolderSelection(Protocol):
    """Rule that selects the holders to request tokens from.

    Candidates are selected one by one in the order of ``arrange``, until
    ``is_sufficient`` returns True.
    """

    def arrange(self, candidates: Sequence[Candidate]) -> list[Candidate]:
        """Return the candidates in the order in which they are selected."""
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
    """Selects the nearest holders, as few as suffice for the request."""

    def arrange(self, candidates: Sequence[Candidate]) -> list[Candidate]:
        """Return the candidates sorted by distance, then by rank."""
        return sorted(
            candidates,
            key=lambda candidate: (candidate.distance, candidate.rank),
        )

    def is_sufficient(self, tokens_needed: int, capacity: int) -> bool:
        """Require twice the amount; some of the tokens may already be spent."""
        return capacity >= tokens_needed * 2


class ProportionalToShare:
    """Selects all holders, each for an amount in proportion to its share.

    This rule is for organisations with a burst of only a few tokens per holder.
    If only some holders received requests, their buckets would become empty.
    The full buckets of the other holders would accrue no tokens. When all
    holders are used evenly, their buckets accrue tokens like a single bucket.
    """

    def arrange(self, candidates: Sequence[Candidate]) -> list[Candidate]:
        """Return the candidates unsorted.

        All candidates are selected, so their order has no effect.
        """
        return list(candidates)

    def is_sufficient(self, tokens_needed: int, capacity: int) -> bool:
        """Return False for any amount, so that all holders are selected."""
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
        Holders to which a request may be sent now.
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
