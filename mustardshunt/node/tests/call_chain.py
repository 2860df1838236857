"""A chain of nodes with the real aggregates for budget, table and router."""

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

MEMBERS = 4
# Repeats that a backend server tries by itself when told to.
BACKEND_ATTEMPTS = 5
ROOT = CallId(Incarnation('entry'), 1)
DEADLINE = 10.0

# How an attempt fails: what the sender is told, and whether its retries are
# known to be left over.
FAILURE_BY_MODE = {
    'refused': (Reason.OVERLOADED, Effect.NOT_RUN),
    'never': (Reason.LINK_LOST, Effect.NOT_RUN),
    'early': (Reason.BACKEND_SERVER_LOST, Effect.UNKNOWN),
    'late': (Reason.BACKEND_SERVER_LOST, Effect.UNKNOWN),
    'lost': (Reason.LINK_LOST, Effect.UNKNOWN),
}


@dataclass(frozen=True)
class HopResult:
    reason: Reason | None
    effect: Effect = Effect.RAN
    unused_retries: int | None = 0
    failed_deeper: bool = False


class Chain:
    """``find_failure(depth, attempt)`` names how each attempt fails, or not."""

    def __init__(self, find_mode, *, repeats=False):
        self.find_failure = find_mode
        self.repeats = repeats
        self.backend_calls = 0
        self.attempts = [0] * (MAX_DEPTH + 1)
        self.table = make_call_table()
        self.router = make_router(Incarnation('entry'), 'dc')
        self.random = random.Random(1)
        for number in range(MAX_DEPTH * MEMBERS):
            service = f's{number // MEMBERS + 1}'
            record = MemberRecord(
                Incarnation(f'm{number}'), 1, 'dc', service,
                MemberState.READY, VmAddress('127.0.0.1', number),
            )  # fmt: skip
            self.router.handle(MemberUpdated(record), -100.0)

    def run(self):
        return self.route(1, MAX_RETRIES_PER_REQUEST)

    def route(self, depth, retries):
        """Do what the node does that routes a call."""
        budget = HopRetryBudget(retries)
        call = RoutingRequest(f's{depth}', Importance.HIGH)
        while True:
            target = self.router.choose(call, 0.0, self.random)
            ending = self.attempt(depth, budget.lend())
            budget.settle(ending.unused_retries)
            if ending.reason is None:
                return HopResult(None, unused_retries=budget.left)
            avoid = call.excluded | {target.incarnation}
            call = RoutingRequest(call.service, call.importance, avoid)
            failed = FailedAttempt(
                call, ending.reason, ending.effect, True, budget.left,
                True, ending.failed_deeper, DEADLINE,
            )  # fmt: skip
            verdict = self.router.decide_retry(failed, 0.0)
            if not verdict.is_allowed:
                return HopResult(ending.reason, ending.effect, budget.left)
            assert not verdict.spends_budget or budget.spend()

    def attempt(self, depth, lent):
        """Do what the callee's node and its backend server do."""
        self.attempts[depth] += 1
        mode = self.find_failure(depth, self.attempts[depth])
        if mode in {'refused', 'never'}:
            return HopResult(*FAILURE_BY_MODE[mode], unused_retries=lent)
        self.backend_calls += 1
        reference = f'{depth}-{self.attempts[depth]}'
        context = CallContext(
            ROOT, ROOT, 'o', Importance.HIGH, 'r', True, depth, lent, DEADLINE
        )
        self.table.open(context, reference, 0.0)
        served = mode == 'early' or self.call_child(depth, reference)
        summary = self.table.close(reference, 1.0)
        left = summary.retries_left
        if mode == 'lost':
            return HopResult(*FAILURE_BY_MODE[mode], unused_retries=None)
        if mode is not None or not served:
            reason, effect = FAILURE_BY_MODE[mode or 'late']
            return HopResult(reason, effect, left, summary.failed_deeper)
        return HopResult(None, unused_retries=left)

    def call_child(self, depth, reference):
        if depth == MAX_DEPTH:
            return True
        for _ in range(BACKEND_ATTEMPTS if self.repeats else 1):
            grant = self.table.open_child(reference, 'r', 0.0)
            if isinstance(grant, Refusal):
                return False
            ending = self.route(grant.depth, grant.retries)
            failed = ending.reason is not None
            self.table.close_child(
                reference,
                grant.number,
                0.0,
                ending.unused_retries,
                failed=failed,
            )
            if not failed:
                return True
        return False
