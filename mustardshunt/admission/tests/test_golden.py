"""Test of the golden session of the gate."""

from mustardshunt.admission.tests.golden_session import PATH, record_session


def test_session_matches_the_golden_file():
    """The decisions of the gate must be the same as in the golden file.

    A difference shows a decision that was changed without intent.
    """
    assert record_session() == PATH.read_text()
