"""Shows the state of the backend server to all nodes that call it."""

from typing import Final, Protocol

from mustardshunt.relay import (
    Answered,
    AnswerLost,
    BackendServerStatusUpdate,
    NotRun,
)
from mustardshunt.upstream import BackendServerStatus

# Changes of load are shown at most this often; other changes at once.
MIN_LOAD_PUBLISH_SECONDS: Final = 0.5
# Changes of load below this part of the limit are not worth the bytes.
SHOWN_LOAD_STEP: Final = 0.25
SHOWN_CUTOFF_STEP: Final = 0.1


class ResultSink(Protocol):
    """Where the result of a call goes."""

    def deliver(
        self, number: int, frame: Answered | NotRun | AnswerLost
    ) -> None:
        """Take the result of a call."""
        ...

    def update_status(self, state: BackendServerStatusUpdate) -> None:
        """Take a new state of the backend server."""
        ...


class StatusPublisher:
    """Tells sinks of changes that matter to their choice.

    Parameters
    ----------
    name : str
        Name of this node.
    incarnation : str
        Run of this node.
    """

    def __init__(self, name: str, incarnation: str) -> None:
        self.revision = 0
        self._name = name
        self._incarnation = incarnation
        self._sinks: list[ResultSink] = []
        self._shown: BackendServerStatus | None = None
        self._shown_at = 0.0

    def subscribe(self, sink: ResultSink, view: BackendServerStatus) -> None:
        """Show a sink the state from now on."""
        self._sinks.append(sink)
        sink.update_status(self._state(view))

    def unsubscribe(self, sink: ResultSink) -> None:
        """Show a sink nothing more."""
        if sink in self._sinks:
            self._sinks.remove(sink)

    def publish_if_changed(self, view: BackendServerStatus, now: float) -> None:
        """Show a view when it differs enough from the last one."""
        shown = self._shown
        if shown is None or _has_turned(shown, view):
            self.publish(view, now)
            return
        if now - self._shown_at >= MIN_LOAD_PUBLISH_SECONDS and _has_moved(
            shown, view
        ):
            self.publish(view, now)

    def publish(self, view: BackendServerStatus, now: float) -> None:
        """Show a view, whether it has changed or not."""
        self._shown = view
        self._shown_at = now
        state = self._state(view)
        for sink in list(self._sinks):
            sink.update_status(state)

    def _state(self, view: BackendServerStatus) -> BackendServerStatusUpdate:
        return BackendServerStatusUpdate(
            self._name,
            self._incarnation,
            view.phase.value,
            view.is_cold,
            view.in_flight,
            view.limit,
            view.cutoff,
            view.hops,
            view.own_cutoff,
            self.revision,
        )


def _has_turned(shown: BackendServerStatus, view: BackendServerStatus) -> bool:
    return (
        shown.phase is not view.phase
        or shown.is_cold != view.is_cold
        or shown.limit != view.limit
        # Each call more that is accepted meanwhile adds to the overload.
        or shown.cutoff - view.cutoff >= SHOWN_CUTOFF_STEP
        or shown.own_cutoff - view.own_cutoff >= SHOWN_CUTOFF_STEP
    )


def _has_moved(shown: BackendServerStatus, view: BackendServerStatus) -> bool:
    load_step = abs(shown.in_flight - view.in_flight)
    if load_step > SHOWN_LOAD_STEP * view.limit:
        return True
    moved = max(
        abs(shown.cutoff - view.cutoff),
        abs(shown.own_cutoff - view.own_cutoff),
    )
    return moved >= SHOWN_CUTOFF_STEP
