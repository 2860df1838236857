"""Calls that wait for a slot of the backend server."""

from collections import OrderedDict, deque
from collections.abc import Hashable
from typing import Final

from mustardshunt.upstream._events import Ticket

# Continuations are ordered before the most important rank: giving them up
# wastes what the request has used already.
_CONTINUATION: Final = -1


class WaitingCalls:
    """Calls in order of importance, in turn between organisations.

    Examples
    --------
    >>> waiting = WaitingCalls()
    >>> for key, position in (('read', 2), ('order', 0)):
    ...     waiting.push(Ticket(key, position, False, 'o', 9.0), now=0.0)
    >>> waiting.pop().key, waiting.pop().key, waiting.pop()
    ('order', 'read', None)
    """

    def __init__(self) -> None:
        self._lanes: dict[int, OrderedDict[str, deque[Ticket]]] = {}
        self._by_key: dict[Hashable, Ticket] = {}
        self._since_by_key: dict[Hashable, float] = {}

    def __len__(self) -> int:
        return len(self._by_key)

    def push(self, ticket: Ticket, now: float) -> None:
        """Add a call."""
        lane = self._lanes.setdefault(_lane_of(ticket), OrderedDict())
        lane.setdefault(ticket.organisation, deque()).append(ticket)
        self._by_key[ticket.key] = ticket
        if ticket.is_continuation:
            self._since_by_key[ticket.key] = now

    def pop(self) -> Ticket | None:
        """Take the next call, None when none waits."""
        for number in sorted(self._lanes):
            ticket = self._pop_lane(self._lanes[number])
            if ticket is not None:
                return ticket
            del self._lanes[number]
        return None

    def discard(self, key: Hashable) -> Ticket | None:
        """Take a call out of the order, None when it does not wait."""
        self._since_by_key.pop(key, None)
        return self._by_key.pop(key, None)

    def expired(self, now: float) -> list[Ticket]:
        """Take out the calls whose latest start has passed."""
        late = [
            ticket
            for ticket in self._by_key.values()
            if ticket.latest_start <= now
        ]
        for ticket in late:
            self.discard(ticket.key)
        return late

    def pressure(self, now: float) -> float:
        """Return the longest wait of a continuation, 1 at its latest start."""
        longest = 0.0
        for key, since in self._since_by_key.items():
            patience = self._by_key[key].latest_start - since
            if patience > 0:
                longest = max(longest, (now - since) / patience)
        return longest

    def clear(self) -> list[Ticket]:
        """Take out all calls."""
        tickets = list(self._by_key.values())
        self._by_key.clear()
        self._since_by_key.clear()
        self._lanes.clear()
        return tickets

    def _pop_lane(
        self,
        lane: OrderedDict[str, deque[Ticket]],
    ) -> Ticket | None:
        while lane:
            organisation, tickets = next(iter(lane.items()))
            ticket = tickets.popleft()
            lane.move_to_end(organisation)
            if not tickets:
                del lane[organisation]
            # Calls taken out of the order stay in their lane until here.
            if self._by_key.get(ticket.key) is ticket:
                return self.discard(ticket.key)
        return None


def _lane_of(ticket: Ticket) -> int:
    return _CONTINUATION if ticket.is_continuation else ticket.position
