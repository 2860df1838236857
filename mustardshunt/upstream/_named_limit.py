"""Limit of requests a second that a backend server names in its answers."""

from mustardshunt.upstream._events import ServerRun


class NamedLimit:
    """Limit that the current run of a backend server names.

    The limit holds as long as the answers of the run name it. It ends with an
    answer to a call that was sent after the last answer that named it: an
    answer to an earlier call may have been made before. Another run inherits
    nothing.

    Examples
    --------
    >>> limit = NamedLimit()
    >>> run = ServerRun('i-1', 100)
    >>> limit.set_run(run)
    >>> limit.record_named(run, 20.0, now=5.0)
    True
    >>> limit.record_unnamed(run, sent_at=4.9), limit.rate
    (False, 20.0)
    >>> limit.record_unnamed(run, sent_at=5.1), limit.rate
    (True, None)
    """

    def __init__(self) -> None:
        self.rate: float | None = None
        self._run: ServerRun | None = None
        self._named_at = 0.0

    def set_run(self, run: ServerRun) -> None:
        """Set the current run; another run has named no limit yet."""
        if run == self._run:
            return
        self._run = run
        self.rate = None

    def record_named(
        self, run: ServerRun | None, rate: float, now: float
    ) -> bool:
        """Record an answer that names the limit; tell if the limit changed.

        Parameters
        ----------
        run : ServerRun or None
            Run that has answered; any run but the current one is ignored.
        rate : float
            Requests a second that the run takes from all nodes together.
        now : float
            Time in seconds.
        """
        if run is None or run != self._run:
            return False
        self._named_at = now
        if rate == self.rate:
            return False
        self.rate = rate
        return True

    def record_unnamed(self, run: ServerRun | None, sent_at: float) -> bool:
        """Record an answer that names no limit; tell if the limit ended.

        Parameters
        ----------
        run : ServerRun or None
            Run that has answered.
        sent_at : float
            Time in seconds at which the answered call was sent.
        """
        if self.rate is None or run != self._run or sent_at <= self._named_at:
            return False
        self.rate = None
        return True
