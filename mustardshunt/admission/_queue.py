"""Queues of calls that wait for a place at the backend server."""

from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import Protocol

from mustardshunt.admission._events import CallArrived
from mustardshunt.base import CallId, Importance


class QueueDiscipline(Protocol):
    """Bounded queue with an order of its own."""

    def __len__(self) -> int:
        """Return the number of queued calls."""
        ...

    def max_length(self, limit: float) -> float:
        """Return how many calls may wait at a concurrency limit."""
        ...

    def meets_deadline(
        self,
        call: CallArrived,
        total_time: float,
        limit: float,
        now: float,
    ) -> bool:
        """Tell whether a call, queued now, would be answered in time."""
        ...

    def has_lower_importance(self, importance: Importance) -> bool:
        """Tell whether a call of lower importance is queued."""
        ...

    def push(self, call: CallArrived) -> None:
        """Add a call."""
        ...

    def pop(self) -> CallArrived:
        """Remove and return the next call; the queue is not empty."""
        ...

    def displace(self, arrival: CallArrived) -> tuple[CallArrived, ...]:
        """Remove and return the call that gives way to an arrival, if any."""
        ...

    def remove(self, call_id: CallId) -> CallArrived | None:
        """Remove and return a call, None when it is not queued."""
        ...

    def remove_expired(self, now: float) -> list[CallArrived]:
        """Remove and return the calls that nobody waits for any more."""
        ...

    def remove_all(self) -> list[CallArrived]:
        """Remove and return all calls."""
        ...


class FifoQueue:
    """First in, first out, of fixed length; the baseline.

    Parameters
    ----------
    length : int
        Calls that may wait.
    """

    def __init__(self, length: int) -> None:
        self._length = length
        self._call_by_id: dict[CallId, CallArrived] = {}

    def __len__(self) -> int:
        return len(self._call_by_id)

    def max_length(self, limit: float) -> float:
        """Return the fixed length."""
        return self._length

    def meets_deadline(
        self,
        call: CallArrived,
        total_time: float,
        limit: float,
        now: float,
    ) -> bool:
        """Return True: the baseline makes no such check."""
        return True

    def has_lower_importance(self, importance: Importance) -> bool:
        """Return False: importance does not count here."""
        return False

    def push(self, call: CallArrived) -> None:
        """Add a call at the end."""
        self._call_by_id[call.call_id] = call

    def pop(self) -> CallArrived:
        """Remove and return the oldest call."""
        return self._call_by_id.pop(next(iter(self._call_by_id)))

    def displace(self, arrival: CallArrived) -> tuple[CallArrived, ...]:
        """Return nothing: no call gives way."""
        return ()

    def remove(self, call_id: CallId) -> CallArrived | None:
        """Remove and return a call, None when it is not queued."""
        return self._call_by_id.pop(call_id, None)

    def remove_expired(self, now: float) -> list[CallArrived]:
        """Return nothing: the baseline does not look at deadlines."""
        return []

    def remove_all(self) -> list[CallArrived]:
        """Remove and return all calls."""
        removed = list(self._call_by_id.values())
        self._call_by_id.clear()
        return removed


@dataclass(frozen=True, slots=True)
class _Entry:
    call: CallArrived
    start_tag: float


@dataclass(slots=True)
class _Lane:
    """Calls of one importance, by organisation, with their tags."""

    length: int = 0
    virtual_time: float = 0.0
    finish_by_organisation: dict[str, float] = field(default_factory=dict)
    entries_by_organisation: dict[str, dict[CallId, _Entry]] = field(
        default_factory=dict,
    )

    def push(self, call: CallArrived) -> None:
        name = call.organisation
        finish = self.finish_by_organisation.get(name, 0.0)
        start_tag = max(self.virtual_time, finish)
        self.finish_by_organisation[name] = start_tag + 1.0
        entries = self.entries_by_organisation.setdefault(name, {})
        entries[call.call_id] = _Entry(call, start_tag)
        self.length += 1

    def pop(self) -> CallArrived:
        heads = (
            next(iter(entries.values()))
            for entries in self.entries_by_organisation.values()
        )
        head = min(heads, key=_get_start_tag)
        self.virtual_time = head.start_tag
        return self.take(head.call)

    def pop_newest_of_longest(self) -> CallArrived:
        longest = max(self.entries_by_organisation.values(), key=len)
        newest = next(reversed(longest.values()))
        # the place in the order is given back
        name = newest.call.organisation
        self.finish_by_organisation[name] = newest.start_tag
        return self.take(newest.call)

    def count_ahead(self, organisation: str) -> int:
        entries_by_name = self.entries_by_organisation
        own = len(entries_by_name.get(organisation, ()))
        return sum(
            min(len(entries), own + 1) for entries in entries_by_name.values()
        )

    def is_outnumbered(self, organisation: str) -> bool:
        entries_by_name = self.entries_by_organisation
        own = len(entries_by_name.get(organisation, ()))
        return max(map(len, entries_by_name.values())) > own + 1

    def take(self, call: CallArrived) -> CallArrived:
        entries = self.entries_by_organisation[call.organisation]
        del entries[call.call_id]
        self.length -= 1
        if not entries:
            del self.entries_by_organisation[call.organisation]
        if not self.length:
            # a busy period ends; old tags would only take memory
            self.virtual_time = 0.0
            self.finish_by_organisation.clear()
        return call


class FairQueue:
    """By importance first, then fair between organisations.

    Within one importance the order is start-time fair queueing with equal
    weights: an organisation that sends little is not delayed by one that
    sends much.

    Parameters
    ----------
    length_per_limit : float, default=2.0
        Calls that may wait for each call that may be in flight.
    """

    def __init__(self, length_per_limit: float = 2.0) -> None:
        self._length_per_limit = length_per_limit
        # highest importance first
        self._lane_by_importance = {
            importance: _Lane() for importance in reversed(Importance)
        }
        self._call_by_id: dict[CallId, CallArrived] = {}

    def __len__(self) -> int:
        return len(self._call_by_id)

    def max_length(self, limit: float) -> float:
        """Return the length allowed at a concurrency limit."""
        return self._length_per_limit * limit

    def meets_deadline(
        self,
        call: CallArrived,
        total_time: float,
        limit: float,
        now: float,
    ) -> bool:
        """Estimate the wait from the calls that go first.

        An organisation with few entries does not wait for all entries of one
        with many.
        """
        ahead = sum(
            lane.length
            for importance, lane in self._lane_by_importance.items()
            if importance > call.importance
        )
        own_lane = self._lane_by_importance[call.importance]
        ahead += own_lane.count_ahead(call.organisation)
        wait = (ahead + 1) * total_time / limit
        return now + wait + total_time <= call.deadline

    def has_lower_importance(self, importance: Importance) -> bool:
        """Tell whether a call of lower importance is queued."""
        return any(
            lane.length
            for other, lane in self._lane_by_importance.items()
            if other < importance
        )

    def push(self, call: CallArrived) -> None:
        """Add a call."""
        self._call_by_id[call.call_id] = call
        self._lane_by_importance[call.importance].push(call)

    def pop(self) -> CallArrived:
        """Remove and return the next call."""
        lane = next(self._filled_lanes())
        call = lane.pop()
        del self._call_by_id[call.call_id]
        return call

    def displace(self, arrival: CallArrived) -> tuple[CallArrived, ...]:
        """Remove a call of the lowest importance below the arrival's.

        Without one, remove a call of the same importance from the
        organisation with the most entries, if it is ahead by more than one.
        """
        lane = list(self._filled_lanes())[-1]
        if lane is self._lane_by_importance[arrival.importance]:
            if not lane.is_outnumbered(arrival.organisation):
                return ()
        elif not self.has_lower_importance(arrival.importance):
            return ()
        call = lane.pop_newest_of_longest()
        del self._call_by_id[call.call_id]
        return (call,)

    def remove(self, call_id: CallId) -> CallArrived | None:
        """Remove and return a call, None when it is not queued."""
        call = self._call_by_id.pop(call_id, None)
        if call is None:
            return None
        return self._lane_by_importance[call.importance].take(call)

    def remove_expired(self, now: float) -> list[CallArrived]:
        """Remove and return the calls whose deadline has passed."""
        expired = [
            call for call in self._call_by_id.values() if call.deadline <= now
        ]
        for call in expired:
            self.remove(call.call_id)
        return expired

    def remove_all(self) -> list[CallArrived]:
        """Remove and return all calls."""
        removed = list(self._call_by_id.values())
        for call in removed:
            self.remove(call.call_id)
        return removed

    def _filled_lanes(self) -> Iterator[_Lane]:
        return (
            lane for lane in self._lane_by_importance.values() if lane.length
        )


def _get_start_tag(entry: _Entry) -> float:
    return entry.start_tag
