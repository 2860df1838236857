"""Answers of the versions of a service, and their comparison."""

import math
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Final

# Steps of a duration's bucket in each doubling of the duration.
BUCKETS_PER_OCTAVE: Final = 4
# Upstreams of one version differ in speed by up to a factor of 2.4; a version
# counts as slower only beyond this factor (2 ** (5 / 4) = 2.38).
TOLERATED_BUCKETS: Final = 5
# Evidence in nats that a version is worse, at which it counts as bad, and the
# fewest bad answers: the probability of so many failures by chance is below
# e ** -11, or 2e-5. Durations are compared at many bounds, and need more: with
# the figures of failures, 2 of 600 simulated good versions were rolled back.
FAILURE_NATS: Final = 11.0
MIN_FAILURES: Final = 4
SLOW_NATS: Final = 14.0
MIN_SLOW_ANSWERS: Final = 5
# Smallest difference of the shares of failures and of slow answers that counts.
MIN_FAILURE_DIFFERENCE: Final = 0.02
MIN_SLOW_DIFFERENCE: Final = 0.1
# The same for failures, if the former version has no answers of the same time
# with which a fault elsewhere could be told from one of the version.
MIN_UNPAIRED_DIFFERENCE: Final = 0.08
# Buckets above its own median from which on a run of an upstream is in the
# tail: beyond the factor of 2.5 by which ordinary runs vary.
TAIL_BUCKETS: Final = 6
# Fewest durations of an upstream on a route for a median.
MIN_FOR_MEDIAN: Final = 8
# Fewest durations of the former version on a route to compare with.
MIN_REFERENCE: Final = 20


def bucket_of(seconds: float) -> int:
    """Return the bucket of a duration.

    Examples
    --------
    >>> bucket_of(0.2) - bucket_of(0.1), bucket_of(0.0)
    (4, 0)
    """
    return int(BUCKETS_PER_OCTAVE * math.log2(max(1.0, seconds * 1000.0)))


@dataclass(frozen=True, slots=True)
class RouteEvidence:
    """Answers of one version on one route.

    Parameters
    ----------
    answers : int, default=0
        Number of runs that have ended.
    failures : int, default=0
        Number of runs that ended with a failure.
    durations : dict of int to int
        Number of runs by the bucket of their duration, without those of cold
        upstreams.
    """

    answers: int = 0
    failures: int = 0
    durations: Mapping[int, int] = field(default_factory=dict)

    def plus(self, other: 'RouteEvidence', sign: int = 1) -> 'RouteEvidence':
        """Return the sum with other evidence, or the difference."""
        durations = dict(self.durations)
        for bucket, count in other.durations.items():
            durations[bucket] = durations.get(bucket, 0) + sign * count
        return RouteEvidence(
            self.answers + sign * other.answers,
            self.failures + sign * other.failures,
            durations,
        )

    def slower_than(self, bucket: int) -> int:
        """Return how many runs lasted as long as a bucket or longer."""
        return sum(
            count for other, count in self.durations.items() if other >= bucket
        )


@dataclass(frozen=True, slots=True)
class VersionEvidence:
    """Answers of one version of a service.

    Parameters
    ----------
    by_route : dict of str to RouteEvidence
        Answers by route.
    """

    by_route: Mapping[str, RouteEvidence] = field(default_factory=dict)

    @property
    def answers(self) -> int:
        """Number of runs that have ended."""
        return sum(route.answers for route in self.by_route.values())

    @property
    def failures(self) -> int:
        """Number of runs that ended with a failure."""
        return sum(route.failures for route in self.by_route.values())

    def plus(
        self, other: 'VersionEvidence', sign: int = 1
    ) -> 'VersionEvidence':
        """Return the sum with other evidence, or the difference."""
        by_route = dict(self.by_route)
        for name, route in other.by_route.items():
            known = by_route.get(name, RouteEvidence())
            by_route[name] = known.plus(route, sign)
        return VersionEvidence(by_route)


def relative_durations(route: RouteEvidence) -> RouteEvidence:
    """Return the durations of one upstream relative to their median.

    Upstreams differ in speed more than a bad version may differ from a good
    one; the form of their durations does not.

    Examples
    --------
    >>> found = relative_durations(RouteEvidence(9, 0, {20: 1, 30: 7, 37: 1}))
    >>> found.durations
    {0: 8, 7: 1}
    """
    timed = route.slower_than(0)
    if timed < MIN_FOR_MEDIAN:
        return RouteEvidence()
    median = 0
    seen = 0
    for bucket in sorted(route.durations):
        seen += route.durations[bucket]
        if seen * 2 >= timed:
            median = bucket
            break
    relative: dict[int, int] = {}
    for bucket, count in route.durations.items():
        above = max(0, bucket - median)
        relative[above] = relative.get(above, 0) + count
    return RouteEvidence(timed, 0, relative)


@dataclass(frozen=True, slots=True)
class Reference:
    """Answers of the former version, with which a target is compared.

    Parameters
    ----------
    recent : VersionEvidence
        Answers of the same time as those of the target.
    whole : VersionEvidence
        Answers since the order.
    """

    recent: VersionEvidence
    whole: VersionEvidence

    def failure_rate(self, route: str) -> float:
        """Return the higher one of the shares of failures on a route."""
        rates = [0.0]
        for evidence in (self.recent, self.whole):
            found = evidence.by_route.get(route, RouteEvidence())
            rates.append((found.failures + 0.5) / (found.answers + 1.0))
            if not found.answers:
                rates.pop()
        return max(rates)

    def slow_rate(self, route: str, bucket: int) -> float | None:
        """Return the share of runs as long as a bucket, None if unknown."""
        rate: float | None = None
        for evidence in (self.recent, self.whole):
            found = evidence.by_route.get(route, RouteEvidence())
            timed = found.slower_than(0)
            if timed < MIN_REFERENCE:
                continue
            part = (found.slower_than(bucket) + 0.5) / (timed + 1.0)
            rate = part if rate is None else max(rate, part)
        return rate


def nats_against(found: int, total: int, expected: float) -> float:
    """Return the evidence that a share is higher than an expected one.

    Parameters
    ----------
    found : int
        Number of cases.
    total : int
        Number of trials.
    expected : float
        Probability of a case in a trial.

    Returns
    -------
    float
        Bound on the logarithm of the probability of as many cases or more
        (Chernoff), negated; 0 if the share is not higher.

    Examples
    --------
    >>> nats_against(1, 100, 0.01)
    0.0
    >>> round(nats_against(10, 10, 0.1), 1)
    23.0
    """
    if not total:
        return 0.0
    share = found / total
    expected = min(max(expected, 1e-3), 1.0 - 1e-9)
    if share <= expected:
        return 0.0
    nats = share * math.log(share / expected)
    if share < 1:
        nats += (1 - share) * math.log((1 - share) / (1 - expected))
    return total * nats


def find_fault(target: VersionEvidence, reference: Reference) -> str:
    """Return how a target is worse than the former version, or ''.

    Parameters
    ----------
    target : VersionEvidence
        Answers of the target in some period.
    reference : Reference
        Answers of the former version.
    """
    expected_failures = 0.0
    for name, route in target.by_route.items():
        rate = reference.failure_rate(name)
        expected_failures += rate * route.answers
        difference = _needed_difference(name, reference)
        if _is_worse(route.failures, route.answers, rate, difference):
            return f'{route.failures} of {route.answers} on {name} failed'
        slow = _find_slow(name, route, reference)
        if slow:
            return slow
    answers = target.answers
    if not answers:
        return ''
    difference = MIN_FAILURE_DIFFERENCE
    if not reference.recent.answers:
        difference = MIN_UNPAIRED_DIFFERENCE
    rate = expected_failures / answers
    if _is_worse(target.failures, answers, rate, difference):
        return f'{target.failures} of {answers} failed'
    return ''


def find_tail_fault(target: RouteEvidence, former: RouteEvidence) -> str:
    """Return how a part of a target's runs is slow, or ''.

    Parameters
    ----------
    target : RouteEvidence
        Durations relative to the medians of the upstreams.
    former : RouteEvidence
        The same of the former version.
    """
    timed = target.slower_than(0)
    reference = former.slower_than(0)
    if reference < MIN_REFERENCE:
        return ''
    for bucket in sorted(target.durations):
        if bucket < TAIL_BUCKETS:
            continue
        slow = target.slower_than(bucket)
        rate = (former.slower_than(bucket) + 0.5) / (reference + 1.0)
        if _is_slower(slow, timed, rate):
            factor = 2 ** (bucket / BUCKETS_PER_OCTAVE)
            return f'{slow} of {timed} took {factor:.1f} times the median'
    return ''


def _needed_difference(route: str, reference: Reference) -> float:
    recent = reference.recent.by_route.get(route)
    if recent is not None and recent.answers:
        return MIN_FAILURE_DIFFERENCE
    return MIN_UNPAIRED_DIFFERENCE


def _find_slow(name: str, route: RouteEvidence, reference: Reference) -> str:
    timed = route.slower_than(0)
    for bucket in sorted(route.durations):
        slow = route.slower_than(bucket)
        if slow < MIN_SLOW_ANSWERS:
            return ''
        rate = reference.slow_rate(name, bucket - TOLERATED_BUCKETS)
        if rate is None:
            return ''
        if _is_slower(slow, timed, rate):
            milliseconds = int(2 ** (bucket / BUCKETS_PER_OCTAVE))
            return f'{slow} of {timed} on {name} took {milliseconds} ms'
    return ''


def _is_worse(
    found: int, total: int, expected: float, difference: float
) -> bool:
    if found < MIN_FAILURES or found / total < expected + difference:
        return False
    return nats_against(found, total, expected) >= FAILURE_NATS


def _is_slower(found: int, total: int, expected: float) -> bool:
    if found < MIN_SLOW_ANSWERS:
        return False
    if found / total < expected + MIN_SLOW_DIFFERENCE:
        return False
    return nats_against(found, total, expected) >= SLOW_NATS
