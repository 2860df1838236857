"""Records the golden sessions of all packages again and shows differences.

A golden session is a file with recorded events and actions of a component.
Tests compare the file with the present actions of the component. To record the
files again, run ``python -m mustardshunt.node.tests.golden_sessions``.
"""

from mustardshunt.admission.tests import golden_session as admission
from mustardshunt.base.tests.golden import regenerate
from mustardshunt.membership.tests import golden_session as membership
from mustardshunt.outcomes.tests import golden_session as outcomes
from mustardshunt.rate.tests import golden_session as rate


def main():
    for session in (admission, membership, outcomes, rate):
        regenerate(session.PATH, session.record_session())


if __name__ == '__main__':
    main()
