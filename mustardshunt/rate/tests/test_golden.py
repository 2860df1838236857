"""Compares the actions of a simulation with a stored file, the golden file.

``golden_session`` simulates a fixed sequence of events (the session) at three
nodes. The module records the events and the resulting actions as text.
"""

from mustardshunt.rate.tests.golden_session import compare


def test_session_is_as_recorded():
    """The recorded events and actions must be equal to the golden file.

    If they differ, a change of the code has changed a decision.
    """
    assert not compare()
