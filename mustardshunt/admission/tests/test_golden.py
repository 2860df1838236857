"""Compares the decisions of a gate with a stored file, the golden file.

``golden_session`` sends a fixed sequence of events (the session) to a gate and
records each event and each decision as text.
"""

from mustardshunt.admission.tests.golden_session import PATH, record_session


def test_session_matches_the_golden_file():
    """The recorded decisions must be equal to the text in the golden file.

    If they differ, a change of the code has changed a decision of the gate.
    """
    assert record_session() == PATH.read_text()
