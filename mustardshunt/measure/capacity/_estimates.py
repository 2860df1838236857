"""One estimated value with its derivation and its limit."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Estimate:
    """Estimated value of one role at the design size.

    Parameters
    ----------
    role, name : str
        Role that the value is for, and quantity that is estimated.
    total : float
        Value at the design size.
    unit : str
        Unit of the value and of the limit.
    derivation : str
        Measurements and numbers that the value was computed from.
    limit : float or None, default=None
        Limit stated in the design, None if the design states none.
    """

    role: str
    name: str
    total: float
    unit: str
    derivation: str
    limit: float | None = None

    @property
    def is_over(self) -> bool:
        """Whether the total is over its limit."""
        return self.limit is not None and self.total > self.limit


def sum_estimates(
    role: str,
    name: str,
    parts: list[Estimate],
    limit: float | None = None,
) -> Estimate:
    """Return the sum of estimates that have the same unit.

    Examples
    --------
    >>> half = Estimate('node', 'pings', 0.5, 'B/s', '')
    >>> sum_estimates('node', 'all', [half, half], 0.9).is_over
    True
    """
    return Estimate(
        role,
        name,
        sum(part.total for part in parts),
        parts[0].unit,
        'sum of the above',
        limit,
    )
