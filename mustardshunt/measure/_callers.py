"""Simulated callers with open-loop arrivals and frequent retries."""

import random
from typing import Final, Protocol

from mustardshunt.base import Importance
from mustardshunt.measure._call import Attempt, Request
from mustardshunt.measure._model import ControlVariant, Deployment, Scenario
from mustardshunt.measure._timeline import Timeline
from mustardshunt.measure._token_bucket import TokenBucket

_MAX_ATTEMPTS: Final = 4
_RETRY_PAUSE_SECONDS: Final = 0.05


class EntryNode(Protocol):
    """Receives the requests of callers; implemented by the simulation."""

    timeline: Timeline

    def is_trigger_active(self, time: float) -> bool:
        """Tell whether the trigger is in effect at a time in seconds."""
        ...

    def accepts(self, request: Request, service: str) -> bool:
        """Tell whether a request can pass its chain of services.

        Each service of the chain needs a node that accepts the request.
        """
        ...

    def submit(self, attempt: Attempt, service: str) -> None:
        """Send an attempt to the service at which the request enters."""
        ...

    def cancel(self, attempt: Attempt) -> None:
        """Cancel the started calls of an attempt after its time-out."""
        ...


class SimulatedCallers:
    """Callers of all organisations, with rate limits, time-outs and retries.

    Parameters
    ----------
    deployment : Deployment
        Organisations and kinds of requests.
    scenario : Scenario
        Changes of the load during the trigger.
    control : ControlVariant
        Mechanisms that are switched on.
    rng : random.Random
        Generator of arrival times, kinds of requests and retry pauses.
    entry_node : EntryNode
        Receives the attempts.
    """

    def __init__(
        self,
        deployment: Deployment,
        scenario: Scenario,
        control: ControlVariant,
        rng: random.Random,
        entry_node: EntryNode,
    ) -> None:
        self.requests: list[Request] = []
        self.useful_seconds = 0.0
        self._deployment = deployment
        self._scenario = scenario
        self._control = control
        self._rng = rng
        self._entry_node = entry_node
        self._timeline = entry_node.timeline
        self._failed_in_trigger: list[Request] = []
        capacity = deployment.request_capacity
        self._steady_rates = [
            weight * deployment.steady_load * capacity
            for weight in deployment.organisation_weights
        ]
        rates = [rate * deployment.rate_factor for rate in self._steady_rates]
        self._buckets = [TokenBucket(rate) for rate in rates]
        # These buckets tell whether a request is within the rate limit. They
        # count each request once and leave its retries out.
        self._within_rate_buckets = [TokenBucket(rate) for rate in rates]

    def start(self) -> None:
        """Schedule the first request of each organisation."""
        for organisation, _ in enumerate(self._steady_rates):
            self._schedule_arrival(organisation)

    def resend_failed(self) -> None:
        """Send again all requests that failed during the trigger, at once."""
        for request in self._failed_in_trigger:
            self._issue_request(request.organisation, request.kind)

    def on_ended(self, attempt: Attempt, is_success: bool) -> None:
        """Record the outcome of an attempt, and retry a refused request."""
        if attempt.is_over:
            return
        attempt.is_over = True
        if is_success:
            attempt.request.answered = True
            self.useful_seconds += attempt.worked
        else:
            attempt.request.was_refused = True
            self._retry(attempt.request)

    def _schedule_arrival(self, organisation: int) -> None:
        rate = self._steady_rates[organisation]
        if self._entry_node.is_trigger_active(self._timeline.now):
            if self._scenario.surge:
                rate *= self._scenario.surge / self._deployment.steady_load
            if self._scenario.noisy_factor and not organisation:
                rate *= (
                    self._scenario.noisy_factor * self._deployment.rate_factor
                )
        arrival = self._timeline.now + self._rng.expovariate(rate)
        self._timeline.call_at(arrival, self._on_arrival, organisation)

    def _on_arrival(self, organisation: int) -> None:
        fractions = [kind.fraction for kind in self._deployment.kinds]
        kinds = range(len(fractions))
        self._issue_request(
            organisation, self._rng.choices(kinds, fractions)[0]
        )
        self._schedule_arrival(organisation)

    def _issue_request(self, organisation: int, kind: int) -> None:
        importance = self._deployment.kinds[kind].importance
        now = self._timeline.now
        request = Request(kind, importance, organisation, now)
        request.within_rate = self._spend(self._within_rate_buckets, request)
        self.requests.append(request)
        self._send_attempt(request)

    def _send_attempt(self, request: Request) -> None:
        request.attempts += 1
        timeout = self._deployment.caller_timeout
        deadline = min(
            self._timeline.now + timeout / 2,
            request.arrival + timeout,
        )
        attempt = Attempt(request, deadline)
        service = self._deployment.kinds[request.kind].service
        # A request that is refused at the first hop spends no token of the
        # organisation.
        if not self._entry_node.accepts(request, service):
            self.on_ended(attempt, is_success=False)
        elif self._spend(self._buckets, request):
            self._timeline.call_at(deadline, self._on_timeout, attempt)
            self._entry_node.submit(attempt, service)
        else:
            self.on_ended(attempt, is_success=False)

    def _spend(self, buckets: list[TokenBucket], request: Request) -> bool:
        may_use_reserve = (
            not self._control.uses_admission_control
            or request.importance is Importance.CRITICAL
        )
        bucket = buckets[request.organisation]
        return bucket.spend(self._timeline.now, may_use_reserve)

    def _on_timeout(self, attempt: Attempt) -> None:
        if attempt.is_over:
            return
        attempt.is_over = True
        if self._control.uses_admission_control:
            self._entry_node.cancel(attempt)
        self._retry(attempt.request)

    def _retry(self, request: Request) -> None:
        now = self._timeline.now
        retry_at = now + _RETRY_PAUSE_SECONDS * (1 + self._rng.random())
        abandoned_at = request.arrival + self._deployment.caller_timeout
        if request.attempts < _MAX_ATTEMPTS and retry_at < abandoned_at:
            self._timeline.call_at(retry_at, self._send_attempt, request)
        elif (
            self._scenario.resends_failed
            and self._entry_node.is_trigger_active(now)
        ):
            self._failed_in_trigger.append(request)
