"""Defines the Prometheus counters, gauges and histograms of a node."""

from typing import Final

from prometheus_client import (
    CollectorRegistry,
    Counter,
    Gauge,
    Histogram,
    generate_latest,
)

from mustardshunt.base import Effect, Importance, Reason

_SECONDS_BUCKETS: Final = (
    0.0005,
    0.001,
    0.0025,
    0.005,
    0.01,
    0.025,
    0.05,
    0.1,
    0.25,
    0.5,
    1,
    2.5,
    5,
    10,
)
_ORGANISATION: Final = 'organisation'
_IMPORTANCE: Final = 'importance'


class NodeMetrics:
    """Metrics of one node, in a separate Prometheus registry.

    The number of label sets is bounded by the organisations of the sheet, the
    importance levels and the refusal reasons. The metrics of answered calls
    are cached for each label set, because a look-up of a label set in the
    library takes longer than an increment.
    """

    def __init__(self) -> None:
        self.registry = CollectorRegistry()
        self._answered = self._make_counter(
            'answered_calls',
            'Calls of callers that were answered by a backend server.',
            (_ORGANISATION, _IMPORTANCE),
        )
        self._refused = self._make_counter(
            'refused_calls',
            'Calls of callers that were refused.',
            (_ORGANISATION, 'reason', 'effect'),
        )
        self._seconds = Histogram(
            'mustardshunt_call_seconds',
            'Time from a request to its answer.',
            (_ORGANISATION, _IMPORTANCE),
            registry=self.registry,
            buckets=_SECONDS_BUCKETS,
        )
        self._served = self._make_counter(
            'served_calls',
            'Calls that the own backend server finished, by outcome.',
            ('outcome',),
        )
        self._faults = self._make_counter(
            'link_faults',
            'Frames and proofs that were not accepted, by error code.',
            ('code',),
        )
        self._events = self._make_counter(
            'events',
            'Retries, replaced links and other events, by kind.',
            ('kind',),
        )
        self.limit = self._make_gauge(
            'limit',
            'Calls that the own backend server may serve at once.',
        )
        self.in_flight = self._make_gauge(
            'in_flight',
            'Calls that the own backend server serves now.',
        )
        self.queued = self._make_gauge(
            'queued',
            'Calls that wait for the own backend server.',
        )
        self.config_version = self._make_gauge(
            'config_version',
            'Version of the sheet in force.',
        )
        self.config_age = self._make_gauge(
            'config_age_seconds',
            'Time since the platform last named the version in force.',
        )
        self.members = self._make_gauge(
            'members',
            'Nodes of the fleet that take calls.',
        )
        self._answer_by_labels: dict[
            tuple[str, Importance],
            tuple[Counter, Histogram],
        ] = {}

    def count_answer(
        self,
        organisation: str,
        importance: Importance,
        seconds: float,
    ) -> None:
        """Count an answered call and record its duration in seconds."""
        key = (organisation, importance)
        children = self._answer_by_labels.get(key)
        if children is None:
            labels = (organisation, importance.label)
            children = (
                self._answered.labels(*labels),
                self._seconds.labels(*labels),
            )
            self._answer_by_labels[key] = children
        counter, histogram = children
        counter.inc()
        histogram.observe(seconds)

    def count_refusal(
        self,
        organisation: str,
        reason: Reason,
        effect: Effect,
    ) -> None:
        """Count a refused call by organisation, reason and effect."""
        self._refused.labels(organisation, reason.value, effect.value).inc()

    def count_served(self, outcome: str) -> None:
        """Count a call to this node's backend server by its outcome."""
        self._served.labels(outcome).inc()

    def count_fault(self, code: str) -> None:
        """Count a peer's rejected frame or handshake proof by error code."""
        self._faults.labels(code).inc()

    def count_event(self, kind: str) -> None:
        """Count a retry, a replaced link or another event by its kind."""
        self._events.labels(kind).inc()

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return generate_latest(self.registry)

    def _make_counter(
        self,
        name: str,
        documentation: str,
        labels: tuple[str, ...],
    ) -> Counter:
        return Counter(
            f'mustardshunt_{name}',
            documentation,
            labels,
            registry=self.registry,
        )

    def _make_gauge(self, name: str, documentation: str) -> Gauge:
        return Gauge(
            f'mustardshunt_{name}',
            documentation,
            registry=self.registry,
        )
