"""Calls that wait for a slot of the backend server."""

from collections import OrderedDict, deque
from collections.abc import Hashable
from typing import Final

from mustardshunt.upstream._events import AdmissionRequest

# Continuations are ordered before the most important rank: giving them up
# wastes what the request has used already.
_CONTINUATION: Final = -1


class AdmissionQueue:
    """Calls in order of importance, in turn between organisations.

    Examples
    --------
    >>> waiting = AdmissionQueue()
    >>> for key, position in (('read', 2), ('order', 0)):
    ...     request = AdmissionRequest(key, position, False, 'o', 9.0)
    ...     waiting.push(request, now=0.0)
    >>> waiting.pop().key, waiting.pop().key, waiting.pop()
    ('order', 'read', None)
    """

    def __init__(self) -> None:
        self._lanes: dict[int, OrderedDict[str, deque[AdmissionRequest]]] = {}
        self._by_key: dict[Hashable, AdmissionRequest] = {}
        self._since_by_key: dict[Hashable, float] = {}

    def __len__(self) -> int:
        return len(self._by_key)

    def push(self, ticket: AdmissionRequest, now: float) -> None:
        """Add a call."""
        lane = self._lanes.setdefault(_lane_of(ticket), OrderedDict())
        lane.setdefault(ticket.organisation, deque()).append(ticket)
        self._by_key[ticket.key] = ticket
        if ticket.is_child_call:
            self._since_by_key[ticket.key] = now

    def pop(self) -> AdmissionRequest | None:
        """Take the next call, None when none waits."""
        for number in sorted(self._lanes):
            ticket = self._pop_lane(self._lanes[number])
            if ticket is not None:
                return ticket
            del self._lanes[number]
        return None

    def remove(self, key: Hashable) -> AdmissionRequest | None:
        """Take a call out of the order, None when it does not wait."""
        self._since_by_key.pop(key, None)
        return self._by_key.pop(key, None)

    def remove_expired(self, now: float) -> list[AdmissionRequest]:
        """Take out the calls whose latest start has passed."""
        late = [
            ticket
            for ticket in self._by_key.values()
            if ticket.start_deadline <= now
        ]
        for ticket in late:
            self.remove(ticket.key)
        return late

    def longest_wait_ratio(self, now: float) -> float:
        """Return the longest wait of a continuation, 1 at its latest start."""
        longest = 0.0
        for key, since in self._since_by_key.items():
            patience = self._by_key[key].start_deadline - since
            if patience > 0:
                longest = max(longest, (now - since) / patience)
        return longest

    def remove_all(self) -> list[AdmissionRequest]:
        """Take out all calls."""
        tickets = list(self._by_key.values())
        self._by_key.clear()
        self._since_by_key.clear()
        self._lanes.clear()
        return tickets

    def _pop_lane(
        self,
        lane: OrderedDict[str, deque[AdmissionRequest]],
    ) -> AdmissionRequest | None:
        while lane:
            organisation, tickets = next(iter(lane.items()))
            ticket = tickets.popleft()
            lane.move_to_end(organisation)
            if not tickets:
                del lane[organisation]
            # Calls taken out of the order stay in their lane until here.
            if self._by_key.get(ticket.key) is ticket:
                return self.remove(ticket.key)
        return None


def _lane_of(ticket: AdmissionRequest) -> int:
    return _CONTINUATION if ticket.is_child_call else ticket.priority_rank
