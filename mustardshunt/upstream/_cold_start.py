"""Tells until when a backend server counts as cold."""


class ColdStart:
    """Cold start of a backend server, as reported and as assumed.

    After an evacuation the backend server is cold, since it had no load. What
    its heartbeats report then may have been said before the evacuation ended:
    a heartbeat may arrive seconds late, and tells nothing of when it was sent.
    Heartbeats therefore do not shorten the cold start after an evacuation.

    Examples
    --------
    >>> cold_start = ColdStart()
    >>> cold_start.record_return(now=5.0)
    >>> cold_start.record_report(0.0, now=5.4)
    >>> cold_start.is_cold(7.9, warmup=3.0), cold_start.is_cold(8.1, warmup=3.0)
    (True, False)
    """

    def __init__(self) -> None:
        self._reported_until = 0.0
        self._returned_at: float | None = None

    def record_report(self, cold_for: float, now: float) -> None:
        """Record the remaining cold start that a heartbeat reports.

        The time counts from the arrival of the heartbeat. That is never too
        short for a cold start that the backend server knew of when it sent the
        heartbeat.

        Parameters
        ----------
        cold_for : float
            Reported time in seconds.
        now : float
            Time in seconds.
        """
        self._reported_until = now + cold_for

    def record_return(self, now: float) -> None:
        """Record that an evacuation ended at the time ``now`` in seconds."""
        self._returned_at = now

    def is_cold(self, now: float, warmup: float) -> bool:
        """Tell whether the backend server counts as cold.

        Parameters
        ----------
        now : float
            Time in seconds.
        warmup : float
            Duration of a cold start of the service in seconds, 0 if it is not
            known.
        """
        if now < self._reported_until:
            return True
        return (
            self._returned_at is not None and now < self._returned_at + warmup
        )
