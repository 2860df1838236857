"""Limits of backend servers that entry nodes know from published statuses."""

from collections.abc import Collection
from dataclasses import dataclass, replace

from mustardshunt.upstream import BackendServerStatus, ServerRun


@dataclass(frozen=True, slots=True)
class _KnownLimit:
    incarnation: str
    run: ServerRun
    rate: float


class KnownLimits:
    """Limits that the backend servers of other nodes have named.

    A node that was restarted does not know the limit of its backend server
    until the next answer. The entry nodes know it from the former process.

    Examples
    --------
    >>> from mustardshunt.upstream import ServerPhase
    >>> def status(rate):
    ...     run = ServerRun('i-1', 100)
    ...     phase = ServerPhase.READY
    ...     return BackendServerStatus(
    ...         phase, False, 0, 9, 1.0, run=run, request_limit=rate
    ...     )
    >>> limits = KnownLimits()
    >>> limits.record_status('a', 'a-1', status(20.0))
    >>> limits.record_status('a', 'a-2', status(None))
    20.0
    >>> limits.record_status('a', 'a-2', status(None))
    """

    def __init__(self) -> None:
        self._known_by_name: dict[str, _KnownLimit] = {}

    def set_members(self, names: Collection[str]) -> None:
        """Forget the limits of nodes that have left."""
        for name in self._known_by_name.keys() - set(names):
            del self._known_by_name[name]

    def record_status(
        self, name: str, incarnation: str, status: BackendServerStatus
    ) -> float | None:
        """Record a status; return the limit that the node has forgotten.

        Parameters
        ----------
        name : str
            Name of the node that has published the status.
        incarnation : str
            Identifier of the node's process.
        status : BackendServerStatus
            The published status.

        Returns
        -------
        float or None
            Requests a second, None if the node has forgotten no limit.
        """
        run = status.run
        if run is None:
            return None
        if status.request_limit is not None:
            self._known_by_name[name] = _KnownLimit(
                incarnation, run, status.request_limit
            )
            return None
        known = self._known_by_name.get(name)
        if known is None:
            return None
        if known.run != run or known.incarnation == incarnation:
            # The run is another one, or the node says that the limit has ended.
            del self._known_by_name[name]
            return None
        self._known_by_name[name] = replace(known, incarnation=incarnation)
        return known.rate
