"""Measures how long a peer has been silent."""

from typing import Final

# Longest time between two checks that counts as silence. Checks are 0.1 s
# apart, and what the peer sent meanwhile is read before the later one. A longer
# time shows that this process did not run, and could not ask the peer either.
MAX_CHECK_GAP_SECONDS: Final = 0.2
# Longest silence and ping interval of a link on which calls wait for results. A
# link that is silent for longer is replaced: on a working link, the result of
# some other call would usually have arrived by then.
BUSY_MAX_SILENCE_SECONDS: Final = 0.7
BUSY_PING_INTERVAL_SECONDS: Final = 0.25
# Longest silence and ping interval of a link on which no call waits. The kernel
# detects a failed path sooner; these pings detect a peer that has been frozen.
# Most links of a large deployment are idle most of the time, so that frequent
# pings would take more processor time than the calls.
IDLE_MAX_SILENCE_SECONDS: Final = 5.5
IDLE_PING_INTERVAL_SECONDS: Final = 2.5


class Silence:
    """Silence of a peer, without the time for which this process stalled.

    Parameters
    ----------
    now : float
        Time in seconds.

    Examples
    --------
    >>> silence = Silence(0.0)
    >>> [round(silence.measure(now, 0.0), 1) for now in (0.1, 0.2, 5.0)]
    [0.1, 0.2, 0.4]
    >>> round(silence.measure(5.1, heard_at=5.05), 2)
    0.05
    """

    def __init__(self, now: float) -> None:
        self._checked_at = now
        self._seconds = 0.0

    def measure(self, now: float, heard_at: float) -> float:
        """Return the seconds of silence since the peer was heard.

        Parameters
        ----------
        now : float
            Time in seconds.
        heard_at : float
            Time of the last frame, or of a call that began to wait after it.
        """
        gap = min(now - self._checked_at, MAX_CHECK_GAP_SECONDS)
        if heard_at > self._checked_at:
            self._seconds = 0.0
            gap = min(gap, now - heard_at)
        self._seconds += gap
        self._checked_at = now
        return self._seconds
