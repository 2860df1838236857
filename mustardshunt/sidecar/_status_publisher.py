"""Publishes the status of the backend server to the nodes that call it."""

from typing import Final, Protocol

from mustardshunt.base import NO_REVISION
from mustardshunt.relay import (
    Answered,
    AnswerLost,
    BackendServerStatusUpdate,
    NotRun,
)
from mustardshunt.sidecar._server_run_codec import encode_limit, encode_run
from mustardshunt.upstream import BackendServerStatus

# Shortest time between the last update and an update that reports only a
# changed load or a risen cutoff. All other changes are published at once.
MIN_LOAD_PUBLISH_SECONDS: Final = 0.5
# Smallest changes that are published: of the load, as a fraction of the
# concurrency limit or of the limit that the backend server names, and of a
# cutoff, in priority ranks. Smaller changes are not worth a message.
MIN_LOAD_CHANGE: Final = 0.25
MIN_CUTOFF_CHANGE: Final = 0.1
# Smallest change of a named limit that is published at once, as a fraction of
# the limit. A backend server may name slightly different limits in its answers.
MIN_LIMIT_CHANGE: Final = 0.1
# Smallest change of the mean duration of runs that is published, as a fraction
# of it. Noise changes the mean by a tenth now and then.
MIN_MEAN_RUN_CHANGE: Final = 0.25
_MS_PER_SECOND: Final = 1000.0


class ResultSink(Protocol):
    """Receives results of calls and status updates."""

    def deliver(
        self, number: int, frame: Answered | NotRun | AnswerLost
    ) -> None:
        """Receive the result of a call."""
        ...

    def update_status(self, update: BackendServerStatusUpdate) -> None:
        """Receive a new status of the backend server."""
        ...


class StatusPublisher:
    """Sends status updates of the backend server to subscribed sinks.

    Other nodes use these updates to choose a backend server for a call.

    Parameters
    ----------
    name : str
        Name of this node.
    incarnation : str
        Identifier of this process of the node.
    """

    def __init__(self, name: str, incarnation: str) -> None:
        self.revision = NO_REVISION
        self._name = name
        self._incarnation = incarnation
        self._sinks: list[ResultSink] = []
        self._published: BackendServerStatus | None = None
        self._is_use_reported = False
        self._published_at = 0.0

    def subscribe(self, sink: ResultSink, status: BackendServerStatus) -> None:
        """Send the status to a sink now and whenever it changes."""
        self._sinks.append(sink)
        sink.update_status(self._make_update(status))

    def unsubscribe(self, sink: ResultSink) -> None:
        """Stop sending status updates to a sink."""
        if sink in self._sinks:
            self._sinks.remove(sink)

    def publish_if_changed(
        self, status: BackendServerStatus, now: float
    ) -> None:
        """Publish a status if it differs enough from the published status."""
        published = self._published
        if published is None or _is_urgent(published, status):
            self.publish(status, now)
            return
        if now - self._published_at < MIN_LOAD_PUBLISH_SECONDS:
            return
        is_unused = self._is_use_reported and not status.limit_utilisation
        if is_unused or _has_changed_enough(published, status):
            self.publish(status, now)

    def record_reported_use(self) -> None:
        """Note that the result of a call reports a used part of a limit.

        Other nodes send no more calls while other backend servers are less
        used, and get no results then. They are told when the use has ended:
        without a call, nobody would learn that the limit has ended.
        """
        self._is_use_reported = True

    def publish(self, status: BackendServerStatus, now: float) -> None:
        """Publish a status, even if it equals the last published status."""
        self._published = status
        self._published_at = now
        self._is_use_reported = status.limit_utilisation > 0
        update = self._make_update(status)
        for sink in list(self._sinks):
            sink.update_status(update)

    def _make_update(
        self, status: BackendServerStatus
    ) -> BackendServerStatusUpdate:
        instance, started_at = encode_run(status.run)
        return BackendServerStatusUpdate(
            self._name,
            self._incarnation,
            status.phase.value,
            status.is_cold,
            status.in_flight,
            status.limit,
            status.cutoff,
            status.hops,
            status.own_cutoff,
            self.revision,
            instance,
            started_at,
            status.is_leaving,
            encode_limit(status.request_limit),
            status.limit_utilisation,
            status.version,
            round(status.mean_run * _MS_PER_SECOND),
            status.mean_run_route,
        )


def _is_urgent(
    published: BackendServerStatus, status: BackendServerStatus
) -> bool:
    return (
        published.phase is not status.phase
        or published.is_cold != status.is_cold
        or _has_other_server(published, status)
        # A lower cutoff is urgent: until other nodes know it, they send calls
        # that the old cutoff admits, and these add to the overload.
        or published.cutoff - status.cutoff >= MIN_CUTOFF_CHANGE
        or published.own_cutoff - status.own_cutoff >= MIN_CUTOFF_CHANGE
    )


def _has_other_server(
    published: BackendServerStatus, status: BackendServerStatus
) -> bool:
    if _has_other_request_limit(published.request_limit, status.request_limit):
        return True
    return (
        published.run,
        published.version,
        published.is_leaving,
        published.limit,
    ) != (
        status.run,
        status.version,
        status.is_leaving,
        status.limit,
    )


def _has_other_request_limit(
    published: float | None, current: float | None
) -> bool:
    if published is None or current is None:
        return published != current
    return abs(published - current) > MIN_LIMIT_CHANGE * published


def _has_changed_enough(
    published: BackendServerStatus, status: BackendServerStatus
) -> bool:
    mean_change = abs(published.mean_run - status.mean_run)
    if mean_change > MIN_MEAN_RUN_CHANGE * status.mean_run:
        return True
    load_change = abs(published.in_flight - status.in_flight)
    if load_change > MIN_LOAD_CHANGE * status.limit:
        return True
    limit_change = abs(published.limit_utilisation - status.limit_utilisation)
    if limit_change > MIN_LOAD_CHANGE:
        return True
    cutoff_change = max(
        abs(published.cutoff - status.cutoff),
        abs(published.own_cutoff - status.own_cutoff),
    )
    return cutoff_change >= MIN_CUTOFF_CHANGE
