"""Rates and bursts of all nodes together that are divided into shares."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import Final

from mustardshunt.policy import OrganisationPolicy

# All nodes together may exceed the usage cap by a relative amount (overage) and
# an absolute amount (slack). These fractions of the two amounts are divided
# into shares, in addition to the cap. The rest is a reserve: as long as some
# nodes do not know of a new node yet, their shares are too large.
USED_OVERAGE_FRACTION: Final = 0.5
USED_SLACK_FRACTION: Final = 0.9
# Fraction of the minimum of retries that each cap on retries may use. A retried
# request makes its child calls again. In a chain of four services, five caps
# (requests at the first three services, child calls at the second and third)
# repeat up to four calls each at the last service, which has two caps of its
# own: 5 x 4 + 2 = 22.
RETRY_MINIMUM_FRACTION: Final = 1 / 22
# Fraction of a cap on retries that may be spent at once.
RETRY_BURST_FRACTION: Final = 0.5


@dataclass(frozen=True, slots=True)
class CapBounds:
    """Amount by which an organisation may exceed its usage cap.

    Parameters
    ----------
    overage : float
        Amount by which rate and burst may be exceeded, as a fraction of rate
        and burst.
    slack : float
        Number of requests that may be admitted above the cap in any interval
        of time.
    """

    overage: float
    slack: float


@dataclass(frozen=True, slots=True)
class Cap:
    """Tokens that all nodes together may spend.

    Parameters
    ----------
    rate : float
        Tokens that accrue per second.
    burst : float
        Most tokens that all nodes together hold.
    """

    rate: float
    burst: float


def make_usage_caps(
    organisation_by_name: Mapping[str, OrganisationPolicy],
    bounds: CapBounds,
) -> dict[str, Cap]:
    """Return the caps of the organisations that have a limit.

    Examples
    --------
    >>> organisation = OrganisationPolicy('o', None, 10.0, 20.0)
    >>> make_usage_caps({'o': organisation}, CapBounds(0.1, 20))
    {'o': Cap(rate=10.5, burst=39.0)}
    """
    factor = 1.0 + bounds.overage * USED_OVERAGE_FRACTION
    slack = bounds.slack * USED_SLACK_FRACTION
    return {
        name: Cap(
            organisation.rate * factor, organisation.burst * factor + slack
        )
        for name, organisation in organisation_by_name.items()
        if organisation.rate > 0
    }


def retry_cap_name(service: str, kind: str) -> str:
    """Return the name of the cap on retries of one kind at a service.

    The separator does not occur in names of organisations.
    """
    return f'retry\x1f{service}\x1f{kind}'


def make_retry_caps(
    services: Iterable[str],
    kinds: Iterable[str],
    minimum: float,
    window: float,
) -> dict[str, Cap]:
    """Return the caps on retries that are allowed without any requests.

    Parameters
    ----------
    services : iterable of str
        Services to which calls are retried.
    kinds : iterable of str
        Kinds of calls.
    minimum : float
        Retries that all nodes may send to a service in each window.
    window : float
        Seconds over which retries are counted.

    Examples
    --------
    >>> caps = make_retry_caps(['s'], ['request'], 220, 10.0)
    >>> caps[retry_cap_name('s', 'request')]
    Cap(rate=0.5, burst=5.0)
    """
    allowed = minimum * RETRY_MINIMUM_FRACTION
    burst = allowed * RETRY_BURST_FRACTION
    cap = Cap((allowed - burst) / window, burst)
    names = list(kinds)
    return {
        retry_cap_name(service, kind): cap
        for service in services
        for kind in names
    }
