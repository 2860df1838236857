"""Simulation of one deployment under one scenario in virtual time."""

import itertools
import random
from typing import Final

from mustardshunt.admission import CallArrived
from mustardshunt.base import CallId, Importance, Incarnation
from mustardshunt.measure._call import Attempt, Call, Request
from mustardshunt.measure._callers import SimulatedCallers
from mustardshunt.measure._gates import make_simulated_gate
from mustardshunt.measure._model import ControlVariant, Deployment, Scenario
from mustardshunt.measure._node import (
    LeastInFlight,
    NodeSelector,
    SimulatedNode,
)
from mustardshunt.measure._server import SimulatedServer
from mustardshunt.measure._timeline import Timeline

WARM_UP_SECONDS: Final = 8.0
RECOVERY_WINDOW_SECONDS: Final = 8.0
# Retries on another node are limited to this fraction of the calls, plus a
# burst of this many retries. Section 6 of the design states this limit.
_RETRY_RATIO: Final = 0.1
_RETRY_BURST: Final = 10.0
_SENDER: Final = Incarnation('measure')


class Simulation:
    """Simulated deployment under one scenario and one control variant.

    Parameters
    ----------
    deployment : Deployment
        Services and organisations.
    scenario : Scenario
        Trigger of overload.
    control : ControlVariant
        Mechanisms that are switched on.
    seed : int
        Seed of all random choices.
    """

    def __init__(
        self,
        deployment: Deployment,
        scenario: Scenario,
        control: ControlVariant,
        seed: int,
    ) -> None:
        self.deployment = deployment
        self.scenario = scenario
        self.control = control
        self.timeline = Timeline()
        self.trigger_end = WARM_UP_SECONDS + scenario.trigger_seconds
        rng = random.Random(seed)
        self.callers = SimulatedCallers(
            deployment, scenario, control, rng, self
        )
        self._node_selector: NodeSelector = LeastInFlight(
            control.uses_admission_control and control.shedding,
        )
        self._call_numbers = itertools.count(1)
        self._retry_tokens = _RETRY_BURST
        self._nodes_by_service = {
            name: [
                SimulatedNode(
                    make_simulated_gate(control, spec),
                    SimulatedServer(spec, self.timeline, rng),
                    number % deployment.data_centres,
                    self.timeline,
                )
                for number in range(spec.servers)
            ]
            for name, spec in deployment.service_by_name.items()
        }

    def is_trigger_active(self, time: float) -> bool:
        """Tell whether the trigger is in effect at a time in seconds."""
        return WARM_UP_SECONDS <= time < self.trigger_end

    def nodes(self) -> list[SimulatedNode]:
        """Return the nodes of all services of the deployment."""
        return list(
            itertools.chain.from_iterable(self._nodes_by_service.values()),
        )

    def run(self) -> None:
        """Run the warm-up, the trigger and the recovery window."""
        for node in self.nodes():
            node.start()
        self.callers.start()
        self.timeline.call_at(WARM_UP_SECONDS, self._begin_trigger)
        self.timeline.call_at(self.trigger_end, self._end_trigger)
        self.timeline.run(self.trigger_end + RECOVERY_WINDOW_SECONDS)

    def accepts(self, request: Request, service: str) -> bool:
        """Tell whether a request can pass its chain of services.

        Each service of the chain needs a node that accepts the request.
        """
        return all(
            self._node_selector.choose(nodes, request.importance, ())
            for nodes in map(
                self._nodes_by_service.__getitem__,
                self.deployment.chain(service),
            )
        )

    def submit(self, attempt: Attempt, service: str) -> None:
        """Send an attempt to the service at which the request enters."""
        self._send(Call(self, attempt, service, None))

    def cancel(self, attempt: Attempt) -> None:
        """Cancel the started calls of an attempt after its time-out."""
        calls: list[Call] = []
        call = attempt.leaf
        while call is not None:
            calls.append(call)
            call = call.parent
        for started in reversed(calls):
            if started.is_started:
                started.time_out()

    def call_child(self, parent: Call) -> bool:
        """Send the child call of a call, and tell whether the call has one."""
        child = self.deployment.service_by_name[parent.service].child
        if child:
            self._send(Call(self, parent.attempt, child, parent))
        return bool(child)

    def finish(self, call: Call, is_success: bool, may_retry: bool) -> None:
        """Retry a call on another node, or pass its outcome to its parent."""
        attempt = call.attempt
        attempt.worked += call.worked
        call.worked = 0.0
        if may_retry and self._try_retry(call):
            return
        if call.parent is None:
            self.callers.on_ended(attempt, is_success)
            return
        attempt.leaf = call.parent
        call.parent.on_child_ended(is_success)

    def _begin_trigger(self) -> None:
        deepest_nodes = self._nodes_by_service[self.deployment.deepest_service]
        for number, node in enumerate(deepest_nodes):
            node.server.slowdown = self.scenario.slowdown
            if number < self.scenario.cold_servers:
                node.server.turn_cold()
        if not self.scenario.data_centre_leaves:
            return
        for leaving in self.nodes():
            if not leaving.data_centre:
                leaving.leave()

    def _end_trigger(self) -> None:
        for node in self.nodes():
            node.server.slowdown = 1.0
            if not node.is_in_service:
                node.rejoin()
        self.callers.resend_failed()

    def _send(self, call: Call) -> None:
        call.attempt.leaf = call
        self._retry_tokens = min(
            _RETRY_BURST, self._retry_tokens + _RETRY_RATIO
        )
        if not self._try_submit(call):
            self.finish(call, is_success=False, may_retry=False)

    def _try_retry(self, call: Call) -> bool:
        attempt = call.attempt
        if not self.control.uses_admission_control or attempt.is_over:
            return False
        if (
            not attempt.retries
            or self._retry_tokens < 1
            or not self._try_submit(call)
        ):
            return False
        attempt.retries -= 1
        self._retry_tokens -= 1
        return True

    def _try_submit(self, call: Call) -> bool:
        request = call.attempt.request
        node = self._node_selector.choose(
            self._nodes_by_service[call.service],
            request.importance,
            call.tried,
        )
        if node is None:
            return False
        arrived = CallArrived(
            CallId(_SENDER, next(self._call_numbers)),
            str(request.organisation) if self.control.fair else 'all',
            request.importance if self.control.importance else Importance.LOW,
            call.attempt.deadline,
        )
        call.submit(node, arrived)
        return True
