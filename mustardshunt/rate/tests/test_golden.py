"""Guards the decisions of a simulated session against unintended changes."""

from mustardshunt.rate.tests.golden_session import compare


def test_session_is_as_recorded():
    """Guards against decisions that differ from the golden file."""
    assert not compare()
