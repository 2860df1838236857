"""Calls that a backend server makes to its node."""

import json
from typing import Any, Final
from urllib.parse import unquote

from loguru import logger

from mustardshunt.platform._names import INSTANCES_PATH
from mustardshunt.platform._values import (
    MalformedError,
    read_integer,
    read_json_object,
    read_seconds,
    read_text,
)
from mustardshunt.relay import HttpRequest, HttpResponse
from mustardshunt.upstream import Heartbeat, ServerPhase

_JSON: Final = b'Content-Type: application/json\r\n'
_PHASE_BY_STATE: Final = {
    'ready': ServerPhase.READY,
    'draining': ServerPhase.DRAINING,
}


class PlatformHeartbeatCodec:
    """Reads heartbeats and departures.

    Parameters
    ----------
    service : str
        Service of the backend server beside this node.
    """

    def __init__(self, service: str) -> None:
        self._service = service

    def read_heartbeat(self, request: HttpRequest) -> Heartbeat | None:
        """Return a heartbeat, None if the request is none that can be read."""
        instance = _instance(request, 'PUT')
        if instance is None:
            return None
        try:
            return self._decode(instance, json.loads(request.body))
        except ValueError as error:
            logger.bind(instance=instance, error=str(error)).warning(
                'unreadable heartbeat',
            )
            return None

    def read_departure(self, request: HttpRequest) -> str | None:
        """Return the run that leaves, None if the request says no such."""
        return _instance(request, 'DELETE')

    def acknowledge(self) -> HttpResponse:
        """Return the confirmation of a call."""
        return HttpResponse(200, _JSON, b'{}')

    def reject(self, request: HttpRequest) -> HttpResponse:
        """Return the answer to a call that cannot be read."""
        is_known = request.target.startswith(INSTANCES_PATH)
        return HttpResponse(400 if is_known else 404, _JSON, b'{}')

    def _decode(self, instance: str, found: Any) -> Heartbeat:
        table = read_json_object(found)
        state = read_text(table, 'state')
        if state not in _PHASE_BY_STATE:
            raise MalformedError(f'state: found {state!r}')
        service = read_text(table, 'service')
        if service != self._service:
            raise MalformedError(f'service: found {service!r}')
        started_at = table.get('born')
        if isinstance(started_at, bool) or not isinstance(started_at, int):
            started_at = None
        return Heartbeat(
            instance=instance,
            started_at=started_at,
            sequence=read_integer(table, 'sequence', 0),
            phase=_PHASE_BY_STATE[state],
            slots=read_integer(table, 'slots', 1),
            cold_for=read_seconds(table, 'cold_remaining', 0.0),
        )


def _instance(request: HttpRequest, method: str) -> str | None:
    path = request.target.partition('?')[0]
    if request.method != method or not path.startswith(INSTANCES_PATH):
        return None
    name = unquote(path.removeprefix(INSTANCES_PATH))
    return name or None
