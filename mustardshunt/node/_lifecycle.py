"""State machine for the life cycle of a node, from its start to its stop."""

from typing import Any, Final, Protocol

from loguru import logger
from transitions import Machine

from mustardshunt.base import Effect, Reason, Refusal

# Each transition: trigger, source states and destination state.
_TRANSITIONS: Final = (
    ('join', 'starting', 'joining'),
    ('serve', 'joining', 'serving'),
    ('drain', ['starting', 'joining', 'serving'], 'draining'),
    ('leave', 'draining', 'leaving'),
    ('stop', '*', 'stopped'),
)
_STATES: Final = (
    'starting',
    'joining',
    'serving',
    'draining',
    'leaving',
    'stopped',
)
_STARTING: Final = Refusal(
    Reason.NOT_READY,
    Effect.NOT_RUN,
    'the node is starting',
)
_DRAINING: Final = Refusal(
    Reason.DRAINING,
    Effect.NOT_RUN,
    'the node is stopping',
)


class OutOfService(Protocol):
    """Checks whether operators have evacuated the node's data centre."""

    def __call__(self) -> bool:
        """Return whether the node's data centre is evacuated."""
        ...


class Lifecycle:
    """State of a node: starting, joining, serving, draining, leaving, stopped.

    A draining node still forwards requests of callers to other nodes. A
    leaving node refuses all requests.

    Parameters
    ----------
    is_out_of_service : callable
        Returns whether operators have evacuated the node's data centre.

    Examples
    --------
    >>> lifecycle = Lifecycle(is_out_of_service=lambda: False)
    >>> lifecycle.state, lifecycle.refusal.reason.value
    ('starting', 'not-ready')
    >>> lifecycle.join(), lifecycle.serve()
    (True, True)
    >>> lifecycle.refusal is None
    True
    """

    state: str

    def __init__(self, is_out_of_service: OutOfService) -> None:
        self._is_out_of_service = is_out_of_service
        Machine(
            model=self,
            states=list(_STATES),
            transitions=[list(transition) for transition in _TRANSITIONS],
            initial='starting',
            auto_transitions=False,
            after_state_change='log_state',
        )

    def __getattr__(self, name: str) -> Any:
        # Makes type checkers accept the trigger methods that ``Machine`` adds.
        raise AttributeError(name)

    @property
    def refusal(self) -> Refusal | None:
        """Refusal of all requests; None if the node serves requests now."""
        if self.state in {'starting', 'joining'}:
            return _STARTING
        if self.state in {'leaving', 'stopped'}:
            return _DRAINING
        return None

    @property
    def closes_connections(self) -> bool:
        """Whether to close connections, so that callers use another node."""
        return (
            self.state not in {'joining', 'serving'}
            or self._is_out_of_service()
        )

    @property
    def is_ready(self) -> bool:
        """Whether the node serves and its data centre is not evacuated."""
        return self.state == 'serving' and not self._is_out_of_service()

    @property
    def is_stopping(self) -> bool:
        """Whether the planned stop of the node has begun."""
        return self.state in {'draining', 'leaving', 'stopped'}

    def log_state(self) -> None:
        """Log the new state.

        The state machine calls this method after each transition.
        """
        logger.info('node is {}', self.state)
