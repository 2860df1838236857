"""Model of a chain of services that call each other.

The model uses the real retry budget, call table and router of the node.
"""

import random
from dataclasses import dataclass

from mustardshunt.base import (
    MAX_DEPTH,
    MAX_RETRIES_PER_REQUEST,
    CallContext,
    CallId,
    Effect,
    Importance,
    Incarnation,
    MemberRecord,
    MemberState,
    Reason,
    Refusal,
    VmAddress,
)
from mustardshunt.calls import HopRetryBudget, make_call_table
from mustardshunt.routing import (
    FailedAttempt,
    MemberUpdated,
    RoutingRequest,
    make_router,
)

MEMBERS_PER_SERVICE = 4
# Attempts for each child call of a backend server that retries on its own.
BACKEND_ATTEMPTS = 5
ROOT = CallId(Incarnation('entry'), 1)
DEADLINE = 10.0

# For each way in which an attempt can fail: the reason and effect that the
# sender receives. In the mode 'answer-lost', the backend server answers but the
# link is lost. The sender then does not know how many retries are left.
FAILURE_BY_MODE = {
    'refused': (Reason.OVERLOADED, Effect.NOT_RUN),
    'not-sent': (Reason.LINK_LOST, Effect.NOT_RUN),
    'crash-before-children': (Reason.BACKEND_SERVER_LOST, Effect.UNKNOWN),
    'crash-after-children': (Reason.BACKEND_SERVER_LOST, Effect.UNKNOWN),
    'answer-lost': (Reason.LINK_LOST, Effect.UNKNOWN),
}


@dataclass(frozen=True)
class HopResult:
    reason: Reason | None
    effect: Effect = Effect.RAN
    unused_retries: int | None = 0
    failed_deeper: bool = False


class Chain:
    """Chain of services, each of which calls the next service.

    ``find_failure(depth, attempt)`` returns the way in which an attempt fails,
    or None when the attempt succeeds.
    """

    def __init__(self, find_failure, *, backend_repeats=False):
        self.find_failure = find_failure
        self.backend_repeats = backend_repeats
        self.backend_calls = 0
        self.attempts = [0] * (MAX_DEPTH + 1)
        self.table = make_call_table()
        self.router = make_router(Incarnation('entry'), 'dc')
        self.random = random.Random(1)
        for number in range(MAX_DEPTH * MEMBERS_PER_SERVICE):
            service = f's{number // MEMBERS_PER_SERVICE + 1}'
            record = MemberRecord(
                Incarnation(f'm{number}'), 1, 'dc', service,
                MemberState.READY, VmAddress('127.0.0.1', number),
            )  # fmt: skip
            self.router.handle(MemberUpdated(record), -100.0)

    def run(self):
        return self.route(1, MAX_RETRIES_PER_REQUEST)

    def route(self, depth, retries):
        """Choose members for a call and retry, as the sender's node does."""
        budget = HopRetryBudget(retries)
        call = RoutingRequest(f's{depth}', Importance.HIGH)
        while True:
            target = self.router.choose(call, 0.0, self.random)
            result = self.attempt(depth, budget.lend())
            budget.settle(result.unused_retries)
            if result.reason is None:
                return HopResult(None, unused_retries=budget.left)
            excluded = call.excluded | {target.incarnation}
            call = RoutingRequest(call.service, call.importance, excluded)
            failed = FailedAttempt(
                call, result.reason, result.effect, True, budget.left,
                True, result.failed_deeper, DEADLINE,
            )  # fmt: skip
            decision = self.router.decide_retry(failed, 0.0)
            if not decision.is_allowed:
                return HopResult(result.reason, result.effect, budget.left)
            assert not decision.spends_budget or budget.spend()

    def attempt(self, depth, lent_retries):
        """Serve one attempt, as the callee's node and backend server do."""
        self.attempts[depth] += 1
        mode = self.find_failure(depth, self.attempts[depth])
        if mode in {'refused', 'not-sent'}:
            return HopResult(
                *FAILURE_BY_MODE[mode], unused_retries=lent_retries
            )
        self.backend_calls += 1
        reference = f'{depth}-{self.attempts[depth]}'
        context = CallContext(
            ROOT,
            ROOT,
            'o',
            Importance.HIGH,
            'r',
            True,
            depth,
            lent_retries,
            DEADLINE,
        )
        self.table.open(context, reference, 0.0)
        has_succeeded = mode == 'crash-before-children' or self.call_child(
            depth, reference
        )
        summary = self.table.close(reference, 1.0)
        retries_left = summary.retries_left
        if mode == 'answer-lost':
            return HopResult(*FAILURE_BY_MODE[mode], unused_retries=None)
        if mode is not None or not has_succeeded:
            reason, effect = FAILURE_BY_MODE[mode or 'crash-after-children']
            return HopResult(
                reason, effect, retries_left, summary.failed_deeper
            )
        return HopResult(None, unused_retries=retries_left)

    def call_child(self, depth, reference):
        if depth == MAX_DEPTH:
            return True
        for _ in range(BACKEND_ATTEMPTS if self.backend_repeats else 1):
            child = self.table.open_child(reference, 'r', 0.0)
            if isinstance(child, Refusal):
                return False
            result = self.route(child.depth, child.retries)
            failed = result.reason is not None
            self.table.close_child(
                reference,
                child.number,
                0.0,
                result.unused_retries,
                failed=failed,
            )
            if not failed:
                return True
        return False
