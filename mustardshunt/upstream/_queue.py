"""Admission queue of calls that wait for a slot of the backend server."""

from collections import OrderedDict, deque
from collections.abc import Hashable
from typing import Final

from mustardshunt.upstream._events import AdmissionRequest

# Rank of child calls in the queue. Child calls come before calls of rank 0, the
# most important rank: if a child call is refused, the work that was already
# done for its request is lost.
_CHILD_CALL_RANK: Final = -1
# Child calls that start one after the other while other calls wait; then one of
# the others starts. A service whose calls are mostly child calls would serve
# its direct callers last, however important they are, since child calls wait in
# every overload.
MAX_CHILD_CALLS_IN_A_ROW: Final = 1


class AdmissionQueue:
    """Queue of calls, ordered by priority rank.

    Within a rank, the organisations take turns (round robin). Child calls come
    first, but only ``MAX_CHILD_CALLS_IN_A_ROW`` of them while other calls wait.

    Examples
    --------
    >>> queue = AdmissionQueue()
    >>> for key, rank in (('read', 2), ('order', 0)):
    ...     request = AdmissionRequest(key, rank, False, 'o', 9.0)
    ...     queue.push(request, now=0.0)
    >>> queue.pop().key, queue.pop().key, queue.pop()
    ('order', 'read', None)
    """

    def __init__(self) -> None:
        self._queues_by_rank: dict[
            int, OrderedDict[str, deque[AdmissionRequest]]
        ] = {}
        self._request_by_key: dict[Hashable, AdmissionRequest] = {}
        self._queued_at_by_key: dict[Hashable, float] = {}
        self._child_calls_in_a_row = 0

    def __len__(self) -> int:
        return len(self._request_by_key)

    def push(self, request: AdmissionRequest, now: float) -> None:
        """Add a call to the queue at the time ``now`` in seconds."""
        queues = self._queues_by_rank.setdefault(
            _queue_rank(request), OrderedDict()
        )
        queues.setdefault(request.organisation, deque()).append(request)
        self._request_by_key[request.key] = request
        if request.is_child_call:
            self._queued_at_by_key[request.key] = now

    def pop(self) -> AdmissionRequest | None:
        """Remove and return the next call, None if the queue is empty."""
        ranks = sorted(self._queues_by_rank)
        if self._child_calls_in_a_row >= MAX_CHILD_CALLS_IN_A_ROW:
            ranks.sort(key=lambda rank: rank == _CHILD_CALL_RANK)
        for rank in ranks:
            request = self._pop_round_robin(self._queues_by_rank[rank])
            if request is None:
                del self._queues_by_rank[rank]
                continue
            self._child_calls_in_a_row += 1
            if rank != _CHILD_CALL_RANK:
                self._child_calls_in_a_row = 0
            return request
        return None

    def count_before(self, request: AdmissionRequest) -> int:
        """Return how many queued calls start before a call that is added."""
        rank = _queue_rank(request)
        return sum(
            _queue_rank(queued) <= rank
            for queued in self._request_by_key.values()
        )

    def remove(self, key: Hashable) -> AdmissionRequest | None:
        """Remove and return a call, None if the call is not in the queue."""
        self._queued_at_by_key.pop(key, None)
        return self._request_by_key.pop(key, None)

    def remove_expired(self, now: float) -> list[AdmissionRequest]:
        """Remove and return all calls whose start deadline has passed."""
        expired = [
            request
            for request in self._request_by_key.values()
            if request.start_deadline <= now
        ]
        for request in expired:
            self.remove(request.key)
        return expired

    def longest_wait_ratio(self, now: float) -> float:
        """Return the highest ratio of a child call's wait to the allowed wait.

        The ratio is 0 when the child call enters the queue, and rises to 1 at
        the start deadline. If no child call is queued, 0 is returned.
        """
        longest = 0.0
        for key, queued_at in self._queued_at_by_key.items():
            allowed_wait = self._request_by_key[key].start_deadline - queued_at
            if allowed_wait > 0:
                longest = max(longest, (now - queued_at) / allowed_wait)
        return longest

    def remove_all(self) -> list[AdmissionRequest]:
        """Remove and return all calls of the queue."""
        requests = list(self._request_by_key.values())
        self._request_by_key.clear()
        self._queued_at_by_key.clear()
        self._queues_by_rank.clear()
        return requests

    def _pop_round_robin(
        self,
        queues: OrderedDict[str, deque[AdmissionRequest]],
    ) -> AdmissionRequest | None:
        while queues:
            organisation, requests = next(iter(queues.items()))
            request = requests.popleft()
            queues.move_to_end(organisation)
            if not requests:
                del queues[organisation]
            # ``remove`` deletes a call from ``_request_by_key``, but not from
            # the queue of the call's organisation. Such calls are skipped here.
            if self._request_by_key.get(request.key) is request:
                return self.remove(request.key)
        return None


def _queue_rank(request: AdmissionRequest) -> int:
    return _CHILD_CALL_RANK if request.is_child_call else request.priority_rank
