"""Compares the handling of lost links with a stored file, the golden file.

``golden_session`` sends a fixed sequence of events (the session) to a call
tracker and an outcome log. The module records the events and the results as
text.
"""

from mustardshunt.outcomes.tests.golden_session import PATH, record_session


def test_session_matches_the_golden_file():
    # The recorded events and actions must be equal to the text in the golden
    # file. If they differ, a change of the code has changed a decision.
    assert record_session() == PATH.read_text()
