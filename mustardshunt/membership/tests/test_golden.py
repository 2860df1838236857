"""Guards against unnoticed changes of membership decisions."""

from mustardshunt.membership.tests.golden_session import PATH, record_session


def test_session_matches_the_golden_file():
    # Guards against an event that leads to other actions than recorded.
    assert record_session() == PATH.read_text()
