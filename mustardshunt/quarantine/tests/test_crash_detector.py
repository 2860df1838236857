"""Tests that only the end of a backend server's process counts as a crash."""

import pytest

from mustardshunt.quarantine import CrashDetector, Fingerprint, LostCall

RUN = 'run-1'
NEXT_RUN = 'run-2'


@pytest.fixture
def detector():
    detector = CrashDetector(restart_window=10.0)
    detector.record_run(RUN)
    return detector


def lose(detector, *names, now=1.0, run=RUN, is_connection_lost=True):
    for name in names:
        detector.record_lost(
            LostCall(
                Fingerprint(name),
                run,
                now,
                is_connection_lost=is_connection_lost,
            )
        )


def crash(detector, now):
    return [call.fingerprint for call in detector.take_crash(now)]


def test_refused_connection_after_lost_calls_is_a_crash(detector):
    # Without this, a server that stays down for long would be noticed too late.
    lose(detector, 'a', 'b')
    detector.record_refused()
    assert crash(detector, 1.3) == ['a', 'b']


def test_new_process_after_lost_calls_is_a_crash(detector):
    # A server that is back before the next call refuses no connection.
    lose(detector, 'a')
    detector.record_run(NEXT_RUN)
    assert crash(detector, 1.3) == ['a']


def test_calls_lost_by_one_crash_are_reported_together(detector):
    # A crash must count once, also if the next call is refused before all
    # connections are read as lost.
    lose(detector, 'a')
    detector.record_refused()
    assert not crash(detector, 1.05)
    lose(detector, 'b', now=1.1)
    assert crash(detector, 1.25) == ['a', 'b']
    lose(detector, 'c', now=1.3)
    assert not crash(detector, 2.0)


def test_lost_answer_of_a_live_server_is_no_crash(detector):
    # A server that loses answers ends later for another reason; the request
    # with the lost answer must not be suspected.
    lose(detector, 'a')
    detector.record_answer(RUN, 1.3)
    detector.record_run(NEXT_RUN)
    assert not crash(detector, 2.0)


def test_connections_that_are_reset_by_the_network_are_no_crash(detector):
    # The server still listens, so that nothing follows from the resets.
    lose(detector, 'a', 'b')
    assert detector.needs_probe(1.25)
    assert not crash(detector, 1.3)
    assert not crash(detector, 20.0)


def test_frozen_server_is_no_crash(detector):
    # Callers leave while the server is frozen. It goes on as the same process.
    lose(detector, 'a', is_connection_lost=False)
    detector.record_run(RUN)
    assert not detector.needs_probe(1.5)
    assert not crash(detector, 5.0)


def test_silent_end_is_a_crash_once_another_process_reports(detector):
    # A server that ends silently resets no connection.
    lose(detector, 'answered before', now=0.5, is_connection_lost=False)
    detector.record_answer(RUN, 1.0)
    lose(detector, 'a', now=5.0, is_connection_lost=False)
    detector.record_run(NEXT_RUN)
    assert crash(detector, 6.0) == ['a']


def test_losses_long_before_a_restart_do_not_count(detector):
    # Otherwise each planned restart would raise suspicion against requests
    # whose answers were lost long before it.
    lose(detector, 'a')
    detector.record_run(NEXT_RUN)
    assert not crash(detector, 11.1)


def test_probes_of_a_listening_server_become_rare(detector):
    # Connections to a server that only loses answers must not pile up.
    lose(detector, 'a')
    probes = [
        step for step in range(100) if detector.needs_probe(1.2 + step / 10)
    ]
    assert len(probes) <= 8


def test_stored_calls_are_bounded(detector):
    # A server that answers nothing must not fill the memory of its node.
    lose(detector, *map(str, range(5000)))
    detector.record_refused()
    assert len(crash(detector, 1.5)) == 1024
