"""Runs of backend servers that have announced that they leave."""

from collections import OrderedDict

from mustardshunt.upstream._events import ServerRun


class LeavingRuns:
    """Bounded set of the runs that leave.

    A run that leaves never takes calls again, so entries are only added. The
    oldest entries are dropped; their runs ended long ago.

    Parameters
    ----------
    size : int
        Largest number of runs in the set.

    Examples
    --------
    >>> runs = LeavingRuns(size=1)
    >>> runs.add(ServerRun('i-1', 100))
    >>> runs.add(ServerRun('i-2', 200))
    >>> ServerRun('i-1', 100) in runs, ServerRun('i-2', 200) in runs
    (False, True)
    >>> ServerRun('i-2', None) in runs
    True
    """

    def __init__(self, size: int) -> None:
        self._size = size
        self._by_run: OrderedDict[ServerRun, None] = OrderedDict()

    def __contains__(self, run: object) -> bool:
        if run in self._by_run:
            return True
        # A run of unknown start may be any run of the instance.
        if not isinstance(run, ServerRun) or run.started_at is not None:
            return False
        return any(known.instance == run.instance for known in self._by_run)

    def add(self, run: ServerRun) -> None:
        """Record that a run leaves."""
        self._by_run[run] = None
        self._by_run.move_to_end(run)
        if len(self._by_run) > self._size:
            self._by_run.popitem(last=False)
