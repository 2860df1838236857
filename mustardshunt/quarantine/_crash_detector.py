"""Tells crashes of a backend server from other ends of its calls."""

from collections.abc import Hashable
from dataclasses import dataclass
from typing import Final

from mustardshunt.quarantine._fingerprints import Fingerprint

# A crash loses all calls in flight at about the same time. All calls lost
# within this time count as lost by the same crash, and an answer that is read
# within this time may have been sent before the crash.
SAME_CRASH_SECONDS: Final = 0.2
# Pause before a second look whether the backend server listens; each further
# pause is twice as long, so that a server that only loses answers gets few
# connections that carry no call.
_FIRST_PROBE_PAUSE_SECONDS: Final = 0.1
# Most lost calls that are stored.
_MAX_LOST_CALLS: Final = 1024


@dataclass(frozen=True, slots=True)
class LostCall:
    """Call that ended without an answer of the backend server.

    Parameters
    ----------
    fingerprint : Fingerprint
        Fingerprint of the call.
    run : hashable
        Process of the backend server to which the call was sent.
    lost_at : float
        Time in seconds at which the call ended.
    request_id : str
        Identifier of the request, empty if unknown.
    is_connection_lost : bool, default=True
        Whether the connection was lost. Otherwise the caller left before an
        answer came, which happens without a crash, too.
    """

    fingerprint: Fingerprint
    run: Hashable
    lost_at: float
    request_id: str = ''
    is_connection_lost: bool = True


class CrashDetector:
    """Tells from the ends of calls when a backend server has crashed.

    A lost connection alone is no crash: the network may have reset it, or the
    server may have lost one answer. It is one if the process has ended too:
    another process reports in its place, or nothing listens at its address. An
    answer of the same process that arrives later shows that it lives on. Of a
    process that falls silent, the calls that got no answer until their callers
    left are kept the same way until another process reports.

    Parameters
    ----------
    restart_window : float
        Seconds after which a lost call no longer counts.

    Examples
    --------
    >>> detector = CrashDetector(restart_window=5.0)
    >>> detector.record_run('run-1')
    >>> detector.record_lost(LostCall(Fingerprint('f'), 'run-1', 1.0))
    >>> len(detector.take_crash(now=1.5))
    0
    >>> detector.record_run('run-2')
    >>> [call.fingerprint for call in detector.take_crash(now=1.5)]
    ['f']
    """

    def __init__(self, restart_window: float) -> None:
        self._restart_window = restart_window
        self._lost: list[LostCall] = []
        self._run: Hashable = None
        self._crashed_run: Hashable = None
        self._is_refusing = False
        self._probe_at = 0.0
        self._probe_pause = _FIRST_PROBE_PAUSE_SECONDS

    def record_run(self, run: Hashable) -> None:
        """Record the process that reports now."""
        if run == self._run:
            return
        self._run = run
        self._is_refusing = False

    def record_lost(self, call: LostCall) -> None:
        """Record a call that ended without an answer."""
        if call.run == self._crashed_run:
            # The crash that lost this call has been reported.
            return
        if call.is_connection_lost and not self._has_lost_connections():
            self._probe_at = call.lost_at + SAME_CRASH_SECONDS
            self._probe_pause = _FIRST_PROBE_PAUSE_SECONDS
        if len(self._lost) < _MAX_LOST_CALLS:
            self._lost.append(call)

    def record_answer(self, run: Hashable, now: float) -> None:
        """Record an answer: its process has not ended before.

        Parameters
        ----------
        run : hashable
            Process to which the answered call was sent.
        now : float
            Time in seconds.
        """
        if not self._lost:
            return
        self._lost = [
            call
            for call in self._lost
            if call.run != run or now - call.lost_at < SAME_CRASH_SECONDS
        ]
        if run == self._run:
            self._is_refusing = False

    def record_refused(self) -> None:
        """Record that nothing listens at the address of the server."""
        self._is_refusing = True

    def needs_probe(self, now: float) -> bool:
        """Tell whether to check that the backend server listens.

        Parameters
        ----------
        now : float
            Time in seconds.
        """
        if not self._has_lost_connections() or self._is_refusing:
            return False
        if now < self._probe_at:
            return False
        self._probe_at = now + self._probe_pause
        self._probe_pause *= 2
        return True

    def take_crash(self, now: float) -> tuple[LostCall, ...]:
        """Return the calls that a crash has lost, empty if there was none.

        Parameters
        ----------
        now : float
            Time in seconds.
        """
        self._lost = [
            call
            for call in self._lost
            if now - call.lost_at <= self._restart_window
        ]
        if not self._lost or now - self._lost[0].lost_at < SAME_CRASH_SECONDS:
            return ()
        ended = tuple(
            call
            for call in self._lost
            if call.run != self._run or self._is_refusing
        )
        if ended:
            self._crashed_run = ended[-1].run
            self._lost = [
                call for call in self._lost if call.run != self._crashed_run
            ]
        return ended

    def _has_lost_connections(self) -> bool:
        return any(call.is_connection_lost for call in self._lost)
