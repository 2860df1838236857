"""Test of the golden session of the gate."""

from mustardshunt.admission.tests.golden_session import PATH, record_session


def test_session_matches_the_golden_file():
    """Guards against an unintended change of a decision of the gate."""
    assert record_session() == PATH.read_text()
