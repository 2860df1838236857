"""Guards single rules of the log and of the tracker."""

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


def make_log(**bounds):
    log = make_outcome_log(**bounds)
    log.register_link(SENDER, 1, 0.0)
    return log


def make_tracker(idempotent=False):
    tracker = make_call_tracker()
    tracker.handle(LinkOpened(PEER, 1), 0.0)
    tracker.handle(CallSent(call(1), PEER, 1, idempotent), 0.0)
    return tracker


def test_outcome_is_kept_for_a_minute_and_then_forgotten():
    # A late repeat must find the floor when the record is gone.
    log = make_log()
    assert log.begin(call(1), 1, 0.0) is BeginResult.BEGUN
    assert log.finish(call(1), DONE, 1.0)
    assert not log.finish(call(1), DONE, 1.0)
    assert log.resolve(call(1), 60.9) == CallStatus(CallState.DONE, DONE)
    assert log.resolve(call(1), 61.0).kind is CallState.FORGOTTEN
    late = log.begin(call(1), 1, 61.0)
    assert late.refusal.reason is Reason.DUPLICATE
    assert log.snapshot().records == log.snapshot().body_bytes == 0


def test_frames_of_an_old_link_are_dropped():
    # The sender has asked on the new link and acts on what it was told.
    log = make_log()
    log.register_link(SENDER, 2, 0.0)
    assert log.begin(call(1), 1, 0.0) is BeginResult.STALE_LINK


def test_bodies_beyond_the_bound_are_dropped_but_known_to_have_run():
    # Large answers must not use up the node's memory.
    log = make_log(max_body_bytes=5)
    for number in (1, 2):
        log.begin(call(number), 1, 0.0)
        log.finish(call(number), DONE, 0.0)
    assert log.resolve(call(1), 0.0).outcome.reply.effect is Effect.RAN
    assert log.resolve(call(2), 0.0).outcome == DONE
    assert log.snapshot().body_bytes == 4


def test_question_is_repeated_until_it_is_answered():
    # A lost question must not leave its call without a result.
    tracker = make_tracker()
    ask = RequestCallStatus(PEER, 2, call(1))
    assert tracker.handle(LinkFailed(PEER, 1), 1.0) == [ReopenLink(PEER)]
    assert tracker.handle(CallTrackerTick(), 1.5) == []
    assert tracker.handle(CallTrackerTick(), 2.0) == [ReopenLink(PEER)]
    assert tracker.handle(LinkOpened(PEER, 2), 2.1) == [ask]
    assert tracker.handle(CallTrackerTick(), 3.2) == [ask]
    running = CallStatusArrived(call(1), PEER, CallStatus(CallState.RUNNING))
    assert tracker.handle(running, 3.3) == []
    assert tracker.handle(CallTrackerTick(), 9.0) == []
    assert len(tracker) == 1


def test_idempotent_call_is_free_for_a_repeat_at_once():
    # A read must not wait for the fate of its first attempt.
    actions = make_tracker(idempotent=True).handle(LinkFailed(PEER, 1), 1.0)
    assert [action.outcome.reply.reason for action in actions] == [
        Reason.LINK_LOST
    ]


def test_late_duplicate_and_foreign_answers_are_dropped():
    # An answer must reach its own request only, and only once.
    tracker = make_tracker()
    other = AnswerArrived(call(1), Incarnation('other'), DONE)
    assert tracker.handle(other, 1.0) == []
    answer = AnswerArrived(call(1), PEER, DONE)
    assert tracker.handle(answer, 1.0) == [CallResolved(call(1), DONE)]
    assert tracker.handle(answer, 1.0) == []
    assert tracker.unmatched_count == 2


def test_call_that_was_said_not_to_have_run_never_begins():
    # Its sender may have sent the order elsewhere.
    log = make_log()
    assert log.resolve(call(1), 0.0).kind is CallState.BARRED
    assert log.begin(call(1), 1, 1.0) is BeginResult.BARRED


def test_call_refused_by_a_full_log_never_begins():
    # The refusal said "not run", so a late repeat must not run.
    log = make_log(max_records=1)
    log.begin(call(1), 1, 0.0)
    assert log.begin(call(2), 1, 0.0) is BeginResult.FULL
    log.finish(call(1), DONE, 0.0)
    assert log.begin(call(2), 1, 0.0) is BeginResult.FORGOTTEN


def test_sender_that_was_dropped_is_not_told_not_run():
    # The call may have run before its sender was dropped.
    log = make_log(max_senders=1)
    log.begin(call(1), 1, 0.0)
    log.finish(call(1), DONE, 0.0)
    log.register_link(Incarnation('other'), 1, 50.0)
    assert log.resolve(call(1), 61.0).kind is CallState.FORGOTTEN
    log.register_link(SENDER, 2, 61.0)
    assert log.resolve(call(2), 61.0).kind is CallState.FORGOTTEN


def test_sender_that_was_dropped_must_open_a_new_link():
    # Its floor is lost, so a late repeat on the old link could run again.
    log = make_log(max_records=1, max_senders=1)
    log.begin(call(1), 1, 0.0)
    assert log.begin(call(2), 1, 0.0) is BeginResult.FULL
    log.register_link(Incarnation('other'), 1, 50.0)
    log.finish(call(1), DONE, 50.0)
    assert log.begin(call(2), 1, 50.0) is BeginResult.STALE_LINK
    log.register_link(SENDER, 2, 50.0)
    assert log.begin(call(2), 1, 50.0) is BeginResult.STALE_LINK
    assert log.begin(call(3), 2, 50.0) is BeginResult.BEGUN
