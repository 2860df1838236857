"""Queues of calls that wait until the concurrency limit allows their start."""

from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import Protocol

from mustardshunt.admission._events import CallArrived
from mustardshunt.base import CallId, Importance


class QueueDiscipline(Protocol):
    """Bounds the queue of a gate and chooses the next call from it."""

    def __len__(self) -> int:
        """Return the number of queued calls."""
        ...

    def max_length(self, limit: float) -> float:
        """Return how many calls may wait when ``limit`` may be in flight."""
        ...

    def meets_deadline(
        self,
        call: CallArrived,
        total_time: float,
        limit: float,
        now: float,
    ) -> bool:
        """Tell whether a call that is queued now would meet its deadline.

        Parameters
        ----------
        call : CallArrived
            The call.
        total_time : float
            Usual time from start to answer, in seconds.
        limit : float
            Calls that may be in flight.
        now : float
            Time, in seconds.
        """
        ...

    def has_lower_importance(self, importance: Importance) -> bool:
        """Tell whether a call below this importance is queued."""
        ...

    def push(self, call: CallArrived) -> None:
        """Add a call to the queue."""
        ...

    def pop(self) -> CallArrived:
        """Remove and return the next call; the queue must not be empty."""
        ...

    def displace(self, arrival: CallArrived) -> tuple[CallArrived, ...]:
        """Remove and return the queued call that an arriving call replaces."""
        ...

    def remove(self, call_id: CallId) -> CallArrived | None:
        """Remove and return a call; None when the call is not queued."""
        ...

    def remove_expired(self, now: float) -> list[CallArrived]:
        """Remove and return the calls whose deadline has passed."""
        ...

    def remove_all(self) -> list[CallArrived]:
        """Remove all calls from the queue and return them."""
        ...


class FifoQueue:
    """First in, first out queue of fixed length; a baseline to compare with.

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
        """Return True: deadlines are not considered."""
        return True

    def has_lower_importance(self, importance: Importance) -> bool:
        """Return False: importance is not considered."""
        return False

    def push(self, call: CallArrived) -> None:
        """Add a call at the end of the queue."""
        self._call_by_id[call.call_id] = call

    def pop(self) -> CallArrived:
        """Remove and return the oldest call."""
        return self._call_by_id.pop(next(iter(self._call_by_id)))

    def displace(self, arrival: CallArrived) -> tuple[CallArrived, ...]:
        """Return no call: a queued call is never displaced."""
        return ()

    def remove(self, call_id: CallId) -> CallArrived | None:
        """Remove and return a call; None when the call is not queued."""
        return self._call_by_id.pop(call_id, None)

    def remove_expired(self, now: float) -> list[CallArrived]:
        """Return no calls: deadlines are not considered."""
        return []

    def remove_all(self) -> list[CallArrived]:
        """Remove all calls from the queue and return them."""
        removed = list(self._call_by_id.values())
        self._call_by_id.clear()
        return removed


@dataclass(frozen=True, slots=True)
class _Entry:
    """A queued call with its start tag."""

    call: CallArrived
    start_tag: float


@dataclass(slots=True)
class _ImportanceQueue:
    """Start-time fair queue of the calls of one importance.

    The start tag of a call is the finish tag of the previous call of its
    organisation, or the virtual time if that is later. Every call has the cost
    1, so its finish tag is its start tag plus 1. The call with the lowest start
    tag goes first.
    """

    length: int = 0
    virtual_time: float = 0.0
    finish_by_organisation: dict[str, float] = field(default_factory=dict)
    entries_by_organisation: dict[str, dict[CallId, _Entry]] = field(
        default_factory=dict,
    )

    def push(self, call: CallArrived) -> None:
        """Add a call and compute its start tag."""
        name = call.organisation
        finish = self.finish_by_organisation.get(name, 0.0)
        start_tag = max(self.virtual_time, finish)
        self.finish_by_organisation[name] = start_tag + 1.0
        entries = self.entries_by_organisation.setdefault(name, {})
        entries[call.call_id] = _Entry(call, start_tag)
        self.length += 1

    def pop(self) -> CallArrived:
        """Remove and return the call with the lowest start tag."""
        heads = (
            next(iter(entries.values()))
            for entries in self.entries_by_organisation.values()
        )
        head = min(heads, key=_get_start_tag)
        self.virtual_time = head.start_tag
        return self.remove_queued(head.call)

    def pop_newest_of_longest(self) -> CallArrived:
        """Remove the newest call of the organisation with the most calls."""
        longest = max(self.entries_by_organisation.values(), key=len)
        newest = next(reversed(longest.values()))
        # The next call of the organisation gets the start tag of the removed
        # call.
        name = newest.call.organisation
        self.finish_by_organisation[name] = newest.start_tag
        return self.remove_queued(newest.call)

    def count_ahead(self, organisation: str) -> int:
        """Count the queued calls that go before an organisation's new call."""
        entries_by_name = self.entries_by_organisation
        own_count = len(entries_by_name.get(organisation, ()))
        return sum(
            min(len(entries), own_count + 1)
            for entries in entries_by_name.values()
        )

    def is_outnumbered(self, organisation: str) -> bool:
        """Tell whether another organisation has at least 2 more calls."""
        entries_by_name = self.entries_by_organisation
        own_count = len(entries_by_name.get(organisation, ()))
        return max(map(len, entries_by_name.values())) > own_count + 1

    def remove_queued(self, call: CallArrived) -> CallArrived:
        """Remove and return a call of this queue."""
        entries = self.entries_by_organisation[call.organisation]
        del entries[call.call_id]
        self.length -= 1
        if not entries:
            del self.entries_by_organisation[call.organisation]
        if not self.length:
            # The queue is empty, so its tags no longer affect any order. If the
            # tags were kept, they would take memory for every organisation.
            self.virtual_time = 0.0
            self.finish_by_organisation.clear()
        return call


class FairQueue:
    """Queue ordered by importance, then fairly between organisations.

    Within one importance, start-time fair queueing with equal weights sets the
    order. An organisation with few calls is therefore not delayed by an
    organisation with many calls.

    Parameters
    ----------
    length_per_limit : float, default=2.0
        Calls that may wait in the queue for each call that may be in flight.
    """

    def __init__(self, length_per_limit: float = 2.0) -> None:
        self._length_per_limit = length_per_limit
        # Highest importance first: calls are served in this order.
        self._queue_by_importance = {
            importance: _ImportanceQueue()
            for importance in reversed(Importance)
        }
        self._call_by_id: dict[CallId, CallArrived] = {}

    def __len__(self) -> int:
        return len(self._call_by_id)

    def max_length(self, limit: float) -> float:
        """Return how many calls may wait when ``limit`` may be in flight."""
        return self._length_per_limit * limit

    def meets_deadline(
        self,
        call: CallArrived,
        total_time: float,
        limit: float,
        now: float,
    ) -> bool:
        """Estimate from the calls ahead whether a call meets its deadline.

        All queued calls of higher importance are ahead of the call. Calls of
        the same importance are served in turn for each organisation. If n calls
        of the same organisation are queued, these n calls are ahead, and so are
        up to n + 1 calls of each other organisation.
        """
        ahead = sum(
            queue.length
            for importance, queue in self._queue_by_importance.items()
            if importance > call.importance
        )
        own_queue = self._queue_by_importance[call.importance]
        ahead += own_queue.count_ahead(call.organisation)
        wait = (ahead + 1) * total_time / limit
        return now + wait + total_time <= call.deadline

    def has_lower_importance(self, importance: Importance) -> bool:
        """Tell whether a call below this importance is queued."""
        return any(
            queue.length
            for other, queue in self._queue_by_importance.items()
            if other < importance
        )

    def push(self, call: CallArrived) -> None:
        """Add a call to the queue."""
        self._call_by_id[call.call_id] = call
        self._queue_by_importance[call.importance].push(call)

    def pop(self) -> CallArrived:
        """Remove and return the next call."""
        queue = next(self._non_empty_queues())
        call = queue.pop()
        del self._call_by_id[call.call_id]
        return call

    def displace(self, arrival: CallArrived) -> tuple[CallArrived, ...]:
        """Remove and return the queued call that an arriving call replaces.

        Only calls of the lowest importance in the queue can be replaced. Among
        them, the newest call of the organisation with the most calls is chosen.
        If the arriving call has the same importance, that organisation must
        have at least 2 more queued calls than the organisation of the arriving
        call. Nothing is removed if all queued calls are more important than the
        arriving call.
        """
        queue = list(self._non_empty_queues())[-1]
        if queue is self._queue_by_importance[arrival.importance]:
            if not queue.is_outnumbered(arrival.organisation):
                return ()
        elif not self.has_lower_importance(arrival.importance):
            return ()
        call = queue.pop_newest_of_longest()
        del self._call_by_id[call.call_id]
        return (call,)

    def remove(self, call_id: CallId) -> CallArrived | None:
        """Remove and return a call; None when the call is not queued."""
        call = self._call_by_id.pop(call_id, None)
        if call is None:
            return None
        return self._queue_by_importance[call.importance].remove_queued(call)

    def remove_expired(self, now: float) -> list[CallArrived]:
        """Remove and return the calls whose deadline has passed."""
        expired = [
            call for call in self._call_by_id.values() if call.deadline <= now
        ]
        for call in expired:
            self.remove(call.call_id)
        return expired

    def remove_all(self) -> list[CallArrived]:
        """Remove all calls from the queue and return them."""
        removed = list(self._call_by_id.values())
        for call in removed:
            self.remove(call.call_id)
        return removed

    def _non_empty_queues(self) -> Iterator[_ImportanceQueue]:
        return (
            queue
            for queue in self._queue_by_importance.values()
            if queue.length
        )


def _get_start_tag(entry: _Entry) -> float:
    return entry.start_tag
