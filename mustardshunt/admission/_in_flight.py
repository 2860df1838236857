"""Calls that a gate has started and that have not ended yet."""

from mustardshunt.base import CallId, Importance


class CallsInFlight:
    """Importance and deadline of each started call, by its identifier."""

    def __init__(self) -> None:
        self._call_by_id: dict[CallId, tuple[Importance, float]] = {}
        self._count_by_importance = [0 for _ in Importance]

    def __len__(self) -> int:
        return len(self._call_by_id)

    def add(
        self,
        call_id: CallId,
        importance: Importance,
        deadline: float,
    ) -> None:
        """Add a call that has started, with its deadline in seconds."""
        self._call_by_id[call_id] = (importance, deadline)
        self._count_by_importance[importance] += 1

    def remove(self, call_id: CallId) -> float | None:
        """Remove a call that has ended, and return its deadline in seconds.

        Return None when the call is not in flight.
        """
        found = self._call_by_id.pop(call_id, None)
        if found is None:
            return None
        importance, deadline = found
        self._count_by_importance[importance] -= 1
        return deadline

    def has_lower_importance(self, importance: Importance) -> bool:
        """Tell whether a call of lower importance is in flight."""
        return any(self._count_by_importance[:importance])
