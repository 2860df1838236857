"""Compares the actions of three members with a stored file, the golden file.

``golden_session`` simulates a fixed sequence of events (the session) at three
members and a replacement. The module records the events and the resulting
actions as text.
"""

from mustardshunt.membership.tests.golden_session import PATH, record_session


def test_session_matches_the_golden_file():
    # The recorded events and actions must be equal to the text in the golden
    # file. If they differ, a change of the code has changed a decision.
    assert record_session() == PATH.read_text()
