"""Token bucket of one organisation at one holder of a share."""

from dataclasses import dataclass

from mustardshunt.rate._events import GrantReport
from mustardshunt.rate._units import (
    GRANT_TERM_MARGIN_SECONDS,
    GRANT_TERM_SECONDS,
)


@dataclass(slots=True)
class _OpenGrant:
    left: int
    spent: int
    returned: int
    expires_at: float


class TokenBucket:
    """Tokens of one organisation that one holder may grant.

    Outstanding tokens were granted, have not expired, and were not yet reported
    as spent or returned. They take up room in the bucket: tokens accrue only
    while the tokens in the bucket and the outstanding tokens add up to less
    than the capacity, and their sum never rises above the capacity. All amounts
    are millionths of a token.

    Parameters
    ----------
    now : float
        Seconds on this node's clock from which tokens accrue.

    Examples
    --------
    >>> bucket = TokenBucket(0.0)
    >>> bucket.resize(1_000_000.0, 2_000_000.0, 0.0)
    >>> bucket.grant(1, 5_000_000, 4.0)
    2000000
    >>> bucket.apply_report(GrantReport(1, 1_000_000, 0), 4.5)
    >>> bucket.grant(2, 5_000_000, 5.0)
    500000
    """

    __slots__ = (
        '_capacity',
        '_level',
        '_open_grant_by_id',
        '_outstanding',
        '_rate',
        '_updated_at',
    )

    def __init__(self, now: float) -> None:
        self._updated_at = now
        self._rate = float(0)
        self._capacity = float(0)
        self._level = float(0)
        self._outstanding = 0
        # In order of expiry, because grants are added in order of time and all
        # have the same term.
        self._open_grant_by_id: dict[int, _OpenGrant] = {}

    def resize(self, rate: float, capacity: float, now: float) -> None:
        """Set rate and capacity; drop tokens above the new capacity."""
        self.advance(now)
        self._rate = rate
        self._capacity = capacity
        self._limit_level()

    def advance(self, now: float) -> None:
        """Accrue tokens up to now and drop expired grants, in order of time."""
        while self._open_grant_by_id:
            grant_id, oldest = next(iter(self._open_grant_by_id.items()))
            if oldest.expires_at > now:
                break
            self._accrue(oldest.expires_at)
            self._outstanding -= oldest.left
            del self._open_grant_by_id[grant_id]
        self._accrue(now)

    def grant(self, grant_id: int, wanted: int, now: float) -> int:
        """Grant at most the requested amount; return the granted amount."""
        self.advance(now)
        tokens = min(wanted, int(self._level))
        if tokens <= 0:
            return 0
        self._level -= tokens
        self._outstanding += tokens
        expires_at = now + GRANT_TERM_SECONDS + GRANT_TERM_MARGIN_SECONDS
        self._open_grant_by_id[grant_id] = _OpenGrant(tokens, 0, 0, expires_at)
        return tokens

    def apply_report(self, report: GrantReport, now: float) -> None:
        """Apply a report on the spent and returned tokens of a grant.

        Returned tokens go back into the bucket.

        A report has no effect when the grant has expired, when a later report
        was applied before, or when the totals are above the granted amount.
        """
        self.advance(now)
        grant = self._open_grant_by_id.get(report.grant_id)
        if grant is None:
            return
        spent = max(0, report.spent - grant.spent)
        returned = max(0, report.returned - grant.returned)
        if spent + returned > grant.left:
            return
        grant.spent += spent
        grant.returned += returned
        grant.left -= spent + returned
        self._outstanding -= spent + returned
        self._level += returned
        self._limit_level()

    def _accrue(self, now: float) -> None:
        elapsed = now - self._updated_at
        if elapsed <= 0:
            return
        self._updated_at = now
        room = self._capacity - self._outstanding - self._level
        if room > 0:
            self._level += min(room, self._rate * elapsed)

    def _limit_level(self) -> None:
        room = max(float(0), self._capacity - self._outstanding)
        self._level = min(self._level, room)
