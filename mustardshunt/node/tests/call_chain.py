"""A chain of nodes with the real aggregates for budget, table and router."""

import random
from dataclasses import dataclass

from mustardshunt.base import (
    MAX_DEPTH,
    RETRY_BUDGET,
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
from mustardshunt.calls import HopBudget, make_call_table
from mustardshunt.routing import (
    FailedAttempt,
    MemberUpdated,
    RoutedCall,
    make_router,
)

MEMBERS = 4
# Repeats that a backend server tries by itself when told to.
STUBBORN = 5
ROOT = CallId(Incarnation('entry'), 1)
DEADLINE = 10.0

# How an attempt fails: what the sender is told, and whether its retries are
# known to be left over.
MODES = {
    'refused': (Reason.OVERLOADED, Effect.NOT_RUN),
    'never': (Reason.LINK_LOST, Effect.NOT_RUN),
    'early': (Reason.BACKEND_SERVER_LOST, Effect.UNKNOWN),
    'late': (Reason.BACKEND_SERVER_LOST, Effect.UNKNOWN),
    'lost': (Reason.LINK_LOST, Effect.UNKNOWN),
}


@dataclass(frozen=True)
class Ending:
    reason: Reason | None
    effect: Effect = Effect.RAN
    unused: int | None = 0
    deeper: bool = False


class Chain:
    """``find_mode(depth, attempt)`` names how each attempt fails, or not."""

    def __init__(self, find_mode, *, repeats=False):
        self.find_mode = find_mode
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
        return self.route(1, RETRY_BUDGET)

    def route(self, depth, retries):
        """Do what the node does that routes a call."""
        budget = HopBudget(retries)
        call = RoutedCall(f's{depth}', Importance.HIGH)
        while True:
            target = self.router.choose(call, 0.0, self.random)
            ending = self.attempt(depth, budget.lend())
            budget.settle(ending.unused)
            if ending.reason is None:
                return Ending(None, unused=budget.left)
            avoid = call.avoid | {target.incarnation}
            call = RoutedCall(call.service, call.importance, avoid)
            failed = FailedAttempt(
                call, ending.reason, ending.effect, True, budget.left,
                True, ending.deeper, DEADLINE,
            )  # fmt: skip
            verdict = self.router.may_retry(failed, 0.0)
            if not verdict.allowed:
                return Ending(ending.reason, ending.effect, budget.left)
            assert not verdict.spends or budget.spend()

    def attempt(self, depth, lent):
        """Do what the callee's node and its backend server do."""
        self.attempts[depth] += 1
        mode = self.find_mode(depth, self.attempts[depth])
        if mode in {'refused', 'never'}:
            return Ending(*MODES[mode], unused=lent)
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
            return Ending(*MODES[mode], unused=None)
        if mode is not None or not served:
            reason, effect = MODES[mode or 'late']
            return Ending(reason, effect, left, summary.failed_deeper)
        return Ending(None, unused=left)

    def call_child(self, depth, reference):
        if depth == MAX_DEPTH:
            return True
        for _ in range(STUBBORN if self.repeats else 1):
            grant = self.table.open_child(reference, 'r', 0.0)
            if isinstance(grant, Refusal):
                return False
            ending = self.route(grant.depth, grant.retries)
            failed = ending.reason is not None
            self.table.close_child(
                reference, grant.number, 0.0, ending.unused, failed=failed
            )
            if not failed:
                return True
        return False
