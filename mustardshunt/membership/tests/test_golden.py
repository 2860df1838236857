"""Test of the golden session of three members."""

from mustardshunt.membership.tests.golden_session import PATH, record_session


def test_session_matches_the_golden_file():
    # Each event must lead to the actions in the golden file. A difference shows
    # a decision that was changed without intent.
    assert record_session() == PATH.read_text()
