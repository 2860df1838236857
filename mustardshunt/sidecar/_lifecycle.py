"""State machine of a sidecar process, from start to stop."""

from typing import Any, Final

from transitions import Machine

# Trigger, source states and destination state of each transition.
_TRANSITIONS: Final = (
    ('serve', 'starting', 'serving'),
    ('drain', ['starting', 'serving'], 'draining'),
    ('leave', 'draining', 'leaving'),
    ('stop', '*', 'stopped'),
)
_STATES: Final = ('starting', 'serving', 'draining', 'leaving', 'stopped')


class SidecarLifecycle:
    """States of a sidecar: starting, serving, draining, leaving, stopped.

    A starting sidecar has no policy or no list of members yet. A draining
    sidecar still serves its callers, which have two seconds to notice that
    the sidecar is not ready. A leaving sidecar refuses new requests.

    Examples
    --------
    >>> lifecycle = SidecarLifecycle()
    >>> lifecycle.is_ready, lifecycle.serve(), lifecycle.is_ready
    (False, True, True)
    """

    state: str

    def __init__(self) -> None:
        Machine(
            model=self,
            states=list(_STATES),
            transitions=[list(transition) for transition in _TRANSITIONS],
            initial='starting',
            auto_transitions=False,
        )

    def __getattr__(self, name: str) -> Any:
        # Machine sets the trigger methods on the instance. This method only
        # tells type checkers that trigger methods exist.
        raise AttributeError(name)

    @property
    def is_ready(self) -> bool:
        """Whether callers may send requests to this node."""
        return self.state == 'serving'

    @property
    def is_stopping(self) -> bool:
        """Whether a planned stop has begun."""
        return self.state in {'draining', 'leaving', 'stopped'}
