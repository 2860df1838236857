"""Callers that send at their own pace and retry hard."""

import random
from typing import Final, Protocol

from mustardshunt.base import Importance
from mustardshunt.measure._call import Attempt, Request
from mustardshunt.measure._model import ControlVariant, Deployment, Scenario
from mustardshunt.measure._timeline import Timeline
from mustardshunt.measure._token_bucket import TokenBucket

_ATTEMPTS: Final = 4
_RETRY_PAUSE: Final = 0.05


class EntryNode(Protocol):
    """Where callers send their requests."""

    timeline: Timeline

    def is_trigger_active(self, time: float) -> bool:
        """Tell whether the trigger lasts at a time."""
        ...

    def accepts(self, request: Request, service: str) -> bool:
        """Tell whether all services of a chain accept a request."""
        ...

    def submit(self, attempt: Attempt, service: str) -> None:
        """Take an attempt."""
        ...

    def cancel(self, attempt: Attempt) -> None:
        """End the calls of an attempt that nobody waits for."""
        ...


class SimulatedCallers:
    """All organisations, with their rates and their requests.

    Parameters
    ----------
    deployment : Deployment
        Organisations and kinds of requests.
    scenario : Scenario
        What they do during the trigger.
    control : ControlVariant
        Mechanisms that are on.
    source : random.Random
        Source of arrivals.
    entry : EntryNode
        Takes the attempts.
    """

    def __init__(
        self,
        deployment: Deployment,
        scenario: Scenario,
        control: ControlVariant,
        source: random.Random,
        entry: EntryNode,
    ) -> None:
        self.requests: list[Request] = []
        self.useful_seconds = 0.0
        self._deployment = deployment
        self._scenario = scenario
        self._control = control
        self._source = source
        self._entry = entry
        self._timeline = entry.timeline
        self._held: list[Request] = []
        capacity = deployment.request_capacity
        self._usual = [
            weight * deployment.steady_load * capacity
            for weight in deployment.organisation_weights
        ]
        rates = [rate * deployment.rate_factor for rate in self._usual]
        self._buckets = [TokenBucket(rate) for rate in rates]
        # fed by first attempts only: tells which requests are within rate
        self._due_buckets = [TokenBucket(rate) for rate in rates]

    def start(self) -> None:
        """Schedule the first request of each organisation."""
        for organisation, _ in enumerate(self._usual):
            self._schedule(organisation)

    def resend_failed(self) -> None:
        """Send at once what has failed during the trigger."""
        for request in self._held:
            self._arrive(request.organisation, request.kind)

    def on_ended(self, attempt: Attempt, is_success: bool) -> None:
        """Take the answer or the refusal of an attempt."""
        if attempt.is_over:
            return
        attempt.is_over = True
        if is_success:
            attempt.request.answered = True
            self.useful_seconds += attempt.worked
        else:
            attempt.request.was_refused = True
            self._try_again(attempt.request)

    def _schedule(self, organisation: int) -> None:
        rate = self._usual[organisation]
        if self._entry.is_trigger_active(self._timeline.now):
            if self._scenario.surge:
                rate *= self._scenario.surge / self._deployment.steady_load
            if self._scenario.noisy_factor and not organisation:
                rate *= (
                    self._scenario.noisy_factor * self._deployment.rate_factor
                )
        later = self._timeline.now + self._source.expovariate(rate)
        self._timeline.call_at(later, self._on_arrival, organisation)

    def _on_arrival(self, organisation: int) -> None:
        portions = [kind.fraction for kind in self._deployment.kinds]
        kinds = range(len(portions))
        self._arrive(organisation, self._source.choices(kinds, portions)[0])
        self._schedule(organisation)

    def _arrive(self, organisation: int, kind: int) -> None:
        importance = self._deployment.kinds[kind].importance
        now = self._timeline.now
        request = Request(kind, importance, organisation, now)
        request.within_rate = self._spend(self._due_buckets, request)
        self.requests.append(request)
        self._attempt(request)

    def _attempt(self, request: Request) -> None:
        request.attempts += 1
        patience = self._deployment.caller_timeout
        deadline = min(
            self._timeline.now + patience / 2,
            request.arrival + patience,
        )
        attempt = Attempt(request, deadline)
        service = self._deployment.kinds[request.kind].service
        # a request that is refused at the first hop costs no token
        if not self._entry.accepts(request, service):
            self.on_ended(attempt, is_success=False)
        elif self._spend(self._buckets, request):
            self._timeline.call_at(deadline, self._on_timeout, attempt)
            self._entry.submit(attempt, service)
        else:
            self.on_ended(attempt, is_success=False)

    def _spend(self, buckets: list[TokenBucket], request: Request) -> bool:
        may_spend_all = (
            not self._control.uses_admission_control
            or request.importance is Importance.CRITICAL
        )
        bucket = buckets[request.organisation]
        return bucket.spend(self._timeline.now, may_spend_all)

    def _on_timeout(self, attempt: Attempt) -> None:
        if attempt.is_over:
            return
        attempt.is_over = True
        if self._control.uses_admission_control:
            self._entry.cancel(attempt)
        self._try_again(attempt.request)

    def _try_again(self, request: Request) -> None:
        now = self._timeline.now
        later = now + _RETRY_PAUSE * (1 + self._source.random())
        end = request.arrival + self._deployment.caller_timeout
        if request.attempts < _ATTEMPTS and later < end:
            self._timeline.call_at(later, self._attempt, request)
        elif self._scenario.resends_failed and self._entry.is_trigger_active(
            now
        ):
            self._held.append(request)
