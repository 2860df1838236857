"""Tests of single rules of the outcome log and of the call tracker."""

from mustardshunt.base import Answer, CallId, Effect, Incarnation, Reason
from mustardshunt.outcomes import (
    AnswerArrived,
    BeginResult,
    CallResolved,
    CallSent,
    CallState,
    CallStatus,
    CallStatusArrived,
    CallTrackerTick,
    LinkFailed,
    LinkOpened,
    Outcome,
    ReopenLink,
    RequestCallStatus,
    make_call_tracker,
    make_outcome_log,
)

SENDER, PEER = Incarnation('s'), Incarnation('p')
DONE = Outcome(Answer(200, (), b'body'))


def call(number):
    return CallId(SENDER, number)


def make_log(**limits):
    log = make_outcome_log(**limits)
    log.register_link(SENDER, 1, 0.0)
    return log


def make_tracker(idempotent=False):
    tracker = make_call_tracker()
    tracker.handle(LinkOpened(PEER, 1), 0.0)
    tracker.handle(CallSent(call(1), PEER, 1, idempotent), 0.0)
    return tracker


def test_outcome_is_forgotten_after_the_retention():
    # A call must not run again when its frame is repeated after the record of
    # the call has expired. The log must remember that the call may have run.
    log = make_log()
    assert log.begin(call(1), 1, 0.0) is BeginResult.BEGUN
    assert log.finish(call(1), DONE, 1.0)
    assert not log.finish(call(1), DONE, 1.0)
    assert log.resolve(call(1), 60.9) == CallStatus(CallState.DONE, DONE)
    assert log.resolve(call(1), 61.0).kind is CallState.FORGOTTEN
    late = log.begin(call(1), 1, 61.0)
    assert late.refusal.reason is Reason.DUPLICATE
    assert log.snapshot().records == log.snapshot().body_bytes == 0


def test_calls_on_an_old_link_do_not_begin():
    # A call that arrives late on an old link must not run: the sender may have
    # been told on the new link that the call has not run, and may have retried
    # it on another node.
    log = make_log()
    log.register_link(SENDER, 2, 0.0)
    assert log.begin(call(1), 1, 0.0) is BeginResult.STALE_LINK


def test_call_whose_body_was_dropped_is_known_to_have_run():
    # The bodies of recorded answers must stay within their size limit; large
    # answers would otherwise use up the memory of the node. After the body of
    # an answer was dropped, the call must still be reported as run.
    log = make_log(max_body_bytes=5)
    for number in (1, 2):
        log.begin(call(number), 1, 0.0)
        log.finish(call(number), DONE, 0.0)
    assert log.resolve(call(1), 0.0).outcome.reply.effect is Effect.RAN
    assert log.resolve(call(2), 0.0).outcome == DONE
    assert log.snapshot().body_bytes == 4


def test_status_request_is_repeated_until_it_is_answered():
    # A lost status request must be sent again; otherwise the call would never
    # get a result.
    tracker = make_tracker()
    request = RequestCallStatus(PEER, 2, call(1))
    assert tracker.handle(LinkFailed(PEER, 1), 1.0) == [ReopenLink(PEER)]
    assert tracker.handle(CallTrackerTick(), 1.5) == []
    assert tracker.handle(CallTrackerTick(), 2.0) == [ReopenLink(PEER)]
    assert tracker.handle(LinkOpened(PEER, 2), 2.1) == [request]
    assert tracker.handle(CallTrackerTick(), 3.2) == [request]
    running = CallStatusArrived(call(1), PEER, CallStatus(CallState.RUNNING))
    assert tracker.handle(running, 3.3) == []
    assert tracker.handle(CallTrackerTick(), 9.0) == []
    assert len(tracker) == 1


def test_idempotent_call_is_resolved_when_its_link_fails():
    # When a link fails, an idempotent call must be resolved at once, so that it
    # can be retried. Waiting for the status of the first attempt would only
    # delay the retry.
    actions = make_tracker(idempotent=True).handle(LinkFailed(PEER, 1), 1.0)
    assert [action.outcome.reply.reason for action in actions] == [
        Reason.LINK_LOST
    ]


def test_duplicate_and_foreign_answers_are_dropped():
    # A request must get only one answer, and only from the node to which its
    # call was sent. Other answers must be dropped and counted.
    tracker = make_tracker()
    other = AnswerArrived(call(1), Incarnation('other'), DONE)
    assert tracker.handle(other, 1.0) == []
    answer = AnswerArrived(call(1), PEER, DONE)
    assert tracker.handle(answer, 1.0) == [CallResolved(call(1), DONE)]
    assert tracker.handle(answer, 1.0) == []
    assert tracker.unmatched_count == 2


def test_barred_call_never_begins():
    # After the sender was told that a call has not run, the call must never
    # run: the sender may have retried it on another node, and the request would
    # run twice.
    log = make_log()
    assert log.resolve(call(1), 0.0).kind is CallState.BARRED
    assert log.begin(call(1), 1, 1.0) is BeginResult.BARRED


def test_call_refused_by_a_full_log_never_begins():
    # A refusal by a full log tells the sender that the call has not run. When
    # the frame of the call is repeated later, the call must therefore not run,
    # even if the log has room again.
    log = make_log(max_records=1)
    log.begin(call(1), 1, 0.0)
    assert log.begin(call(2), 1, 0.0) is BeginResult.FULL
    log.finish(call(1), DONE, 0.0)
    assert log.begin(call(2), 1, 0.0) is BeginResult.FORGOTTEN


def test_call_of_a_dropped_sender_is_forgotten_not_barred():
    # A call may have run before the log dropped the state of its sender. Such a
    # call must not be reported as not run: the sender would retry the call, and
    # the call could run twice.
    log = make_log(max_senders=1)
    log.begin(call(1), 1, 0.0)
    log.finish(call(1), DONE, 0.0)
    log.register_link(Incarnation('other'), 1, 50.0)
    assert log.resolve(call(1), 61.0).kind is CallState.FORGOTTEN
    log.register_link(SENDER, 2, 61.0)
    assert log.resolve(call(2), 61.0).kind is CallState.FORGOTTEN


def test_dropped_sender_must_open_a_new_link():
    # After the log has dropped the state of a sender, the log no longer knows
    # which calls of the sender must not run. The log must reject calls on the
    # old link; otherwise a refused call could run when its frame is repeated.
    log = make_log(max_records=1, max_senders=1)
    log.begin(call(1), 1, 0.0)
    assert log.begin(call(2), 1, 0.0) is BeginResult.FULL
    log.register_link(Incarnation('other'), 1, 50.0)
    log.finish(call(1), DONE, 50.0)
    assert log.begin(call(2), 1, 50.0) is BeginResult.STALE_LINK
    log.register_link(SENDER, 2, 50.0)
    assert log.begin(call(2), 1, 50.0) is BeginResult.STALE_LINK
    assert log.begin(call(3), 2, 50.0) is BeginResult.BEGUN
