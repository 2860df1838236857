"""Prometheus metrics of a sidecar."""

from collections.abc import Collection
from typing import Final

from prometheus_client import (
    CollectorRegistry,
    Counter,
    Gauge,
    Histogram,
    generate_latest,
)

_SECONDS_BUCKETS: Final = (
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
)
# Name of the label for routes. The labels for routes and organisations take
# only names from the active policy, so the number of label values is bounded.
_ROUTE: Final = 'route'


class SidecarMetrics:
    """Metrics of one sidecar, in a collector registry of its own."""

    def __init__(self) -> None:
        registry = CollectorRegistry()
        self._registry = registry
        self.outcomes = Counter(
            'mustardshunt_requests',
            'Requests of callers by outcome.',
            (_ROUTE, 'organisation', 'outcome'),
            registry=registry,
        )
        self.seconds = Histogram(
            'mustardshunt_request_seconds',
            'Time from a request to its reply.',
            (_ROUTE,),
            registry=registry,
            buckets=_SECONDS_BUCKETS,
        )
        self.sends = Counter(
            'mustardshunt_sends',
            'Calls sent to a backend server beside a node, by outcome.',
            ('service', 'outcome'),
            registry=registry,
        )
        self.retry_times = Counter(
            'mustardshunt_retry_times',
            'Refusals for want of room, by the rule for their Retry-After.',
            ('service', 'rule'),
            registry=registry,
        )
        self.gate = Gauge(
            'mustardshunt_gate',
            'State of the gate of the backend server beside this node.',
            ('figure',),
            registry=registry,
        )
        self.policy_version = Gauge(
            'mustardshunt_policy_version',
            'Version of the policy in force.',
            registry=registry,
        )
        self.members = Gauge(
            'mustardshunt_members',
            'Nodes that are known, and those that can be called.',
            ('state',),
            registry=registry,
        )
        self.platform_errors = Counter(
            'mustardshunt_platform_errors',
            'Calls to the platform that failed, by duty.',
            ('duty',),
            registry=registry,
        )
        self.link_losses = Counter(
            'mustardshunt_link_losses',
            'Links to other nodes that were lost.',
            registry=registry,
        )
        self.crashes = Counter(
            'mustardshunt_crashes',
            'Crashes of the backend server, and requests quarantined for them.',
            ('event',),
            registry=registry,
        )
        self.held_bytes = Gauge(
            'mustardshunt_held_bytes',
            'Bytes that are kept for callers, servers and peers, by part.',
            ('part',),
            registry=registry,
        )
        self.large_body_bytes = Gauge(
            'mustardshunt_large_body_bytes',
            'Size of the large body that is kept beside the account.',
            registry=registry,
        )
        self.resident_bytes = Gauge(
            'mustardshunt_resident_bytes',
            'Resident memory of the process.',
            registry=registry,
        )
        self.waiting_requests = Gauge(
            'mustardshunt_waiting_requests',
            'Parsed requests of callers that wait for their turn.',
            registry=registry,
        )
        self.requests_in_progress = Gauge(
            'mustardshunt_requests_in_progress',
            'Requests of callers that are being handled.',
            registry=registry,
        )
        self.given_up = Gauge(
            'mustardshunt_given_up',
            'Bodies that were given up or refused for lack of memory.',
            ('part',),
            registry=registry,
        )
        self.address_wait = Gauge(
            'mustardshunt_address_wait_seconds',
            'Time for which the start has waited for an address to be free.',
            ('listener',),
            registry=registry,
        )
        self.open_data_centres = Gauge(
            'mustardshunt_open_data_centre',
            'Whether calls to a service may leave for another data centre.',
            ('service', 'data_centre'),
            registry=registry,
        )
        self._add_connection_metrics()
        self._add_rollout_metrics()
        self._add_retry_metrics()
        self.settings_reloads = Counter(
            'mustardshunt_settings_reloads',
            'Times that the settings file was read again, by outcome.',
            ('outcome',),
            registry=registry,
        )
        self._settings_waiting = Gauge(
            'mustardshunt_settings_waiting',
            'Changed options that wait for the next start.',
            ('option',),
            registry=registry,
        )

        # Caches metrics by label values, because the look-up by labels in the
        # client library costs more than the increment.
        self._child_by_labels: dict[tuple[str, ...], Counter] = {}
        self._seconds_by_route: dict[str, Histogram] = {}

    def count_request(
        self,
        route: str,
        organisation: str,
        outcome: str,
        seconds: float,
    ) -> None:
        """Count an answered request and record its duration in seconds."""
        self._child(self.outcomes, route, organisation, outcome).inc()
        histogram = self._seconds_by_route.get(route)
        if histogram is None:
            histogram = self.seconds.labels(route)
            self._seconds_by_route[route] = histogram
        histogram.observe(seconds)

    def count_retry(self, service: str, source: str) -> None:
        """Count a retry by what allowed it, or that none was allowed."""
        self.retries.labels(service, source).inc()

    def count_send(self, service: str, outcome: str) -> None:
        """Count a call to a service by its outcome."""
        self._child(self.sends, service, outcome).inc()

    def count_retry_time(self, service: str, has_forecast: bool) -> None:
        """Count a refusal whose retry time follows a forecast or not."""
        rule = 'forecast' if has_forecast else 'random'
        self._child(self.retry_times, service, rule).inc()

    def set_waiting_options(self, options: Collection[str]) -> None:
        """Show the options of the settings that wait for the next start."""
        self._settings_waiting.clear()
        for option in options:
            self._settings_waiting.labels(option).set(1)

    def _child(self, counter: Counter, *labels: str) -> Counter:
        child = self._child_by_labels.get(labels)
        if child is None:
            child = counter.labels(*labels)
            self._child_by_labels[labels] = child
        return child

    def _add_connection_metrics(self) -> None:
        kind = 'kind'
        self.connections = Gauge(
            'mustardshunt_connections',
            'Open connections by kind.',
            (kind,),
            registry=self._registry,
        )
        self.connection_bounds = Gauge(
            'mustardshunt_connection_bound',
            'Connections that may be open, by kind.',
            (kind,),
            registry=self._registry,
        )
        self.connections_ended = Gauge(
            'mustardshunt_connections_ended',
            'Connections that gave way to new ones or were refused, by kind.',
            (kind, 'how'),
            registry=self._registry,
        )
        self.accept_failures = Gauge(
            'mustardshunt_accept_failures',
            'Connections that could not be accepted, by kind.',
            (kind,),
            registry=self._registry,
        )

    def _add_rollout_metrics(self) -> None:
        service = 'service'
        self.rollout_phases = Counter(
            'mustardshunt_rollout_phases',
            'Phases of rollouts that this node has entered.',
            (service, 'phase'),
            registry=self._registry,
        )
        self.rollout_target_calls = Counter(
            'mustardshunt_rollout_target_calls',
            'Calls that this node has sent to the target of a rollout before '
            'all traffic was moved.',
            (service,),
            registry=self._registry,
        )

    def _add_retry_metrics(self) -> None:
        labels = ('service',)
        self.retries = Counter(
            'mustardshunt_retries',
            'Retries by what allowed them: requests or the minimum; or none.',
            (*labels, 'source'),
            registry=self._registry,
        )
        self.retry_tokens = Gauge(
            'mustardshunt_retry_tokens',
            'Retries that the requests of this node allow now.',
            labels,
            registry=self._registry,
        )
        self.chain_cutoff = Gauge(
            'mustardshunt_chain_cutoff',
            'Cutoff for want of retries to a service that rejects calls.',
            labels,
            registry=self._registry,
        )

    def render(self) -> bytes:
        """Return the metrics in the Prometheus text format."""
        return generate_latest(self._registry)
