"""Compares the decisions of a simulated session with a golden file."""

from mustardshunt.rate.tests.golden_session import compare


def test_session_is_as_recorded():
    """A change of the code must not change the decisions unintentionally."""
    assert not compare()
