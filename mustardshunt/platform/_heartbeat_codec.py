"""Codec of the heartbeats that a backend server sends to its node.

It also covers deregistrations, by which a backend server leaves.
"""

from typing import Any, Final
from urllib.parse import unquote

from loguru import logger

from mustardshunt.platform._names import INSTANCES_PATH
from mustardshunt.platform._values import (
    MalformedError,
    parse_json,
    read_count,
    read_integer,
    read_json_object,
    read_seconds,
    read_text,
)
from mustardshunt.relay import HttpRequest, HttpResponse
from mustardshunt.upstream import Heartbeat, ServerPhase

_JSON_HEADER: Final = b'Content-Type: application/json\r\n'
_PHASE_BY_STATE: Final = {
    'ready': ServerPhase.READY,
    'draining': ServerPhase.DRAINING,
}


class PlatformHeartbeatCodec:
    """Decodes heartbeats and deregistrations, and makes the answers to them.

    Parameters
    ----------
    service : str
        Service of this node's backend server. Heartbeats of other services are
        rejected.
    """

    def __init__(self, service: str) -> None:
        self._service = service

    def read_heartbeat(self, request: HttpRequest) -> Heartbeat | None:
        """Return the heartbeat in a request.

        Returns
        -------
        Heartbeat or None
            None if the request is not a heartbeat, or if the heartbeat is
            malformed; a malformed heartbeat is also logged.
        """
        instance = _instance_in_path(request, 'PUT')
        if instance is None:
            return None
        try:
            return self._decode_heartbeat(instance, parse_json(request.body))
        except MalformedError as error:
            logger.bind(instance=instance, error=str(error)).warning(
                'malformed heartbeat rejected',
            )
            return None

    def read_departure(self, request: HttpRequest) -> str | None:
        """Return the instance that a request deregisters.

        Returns None when the request is not a deregistration.
        """
        return _instance_in_path(request, 'DELETE')

    def acknowledge(self) -> HttpResponse:
        """Return the answer to a valid heartbeat or deregistration."""
        return HttpResponse(200, _JSON_HEADER, b'{}')

    def reject(self, request: HttpRequest) -> HttpResponse:
        """Return the answer that rejects a request.

        The status is 400 for a malformed request and 404 for an unknown path.
        """
        is_known_path = request.target.startswith(INSTANCES_PATH)
        return HttpResponse(400 if is_known_path else 404, _JSON_HEADER, b'{}')

    def _decode_heartbeat(self, instance: str, body: Any) -> Heartbeat:
        table = read_json_object(body)
        state = read_text(table, 'state')
        if state not in _PHASE_BY_STATE:
            raise MalformedError(
                f'state: expected ready or draining, found {state!r}',
            )
        service = read_text(table, 'service')
        if service != self._service:
            raise MalformedError(
                f'service: expected {self._service!r}, found {service!r}',
            )
        started_at = table.get('born')
        if isinstance(started_at, bool) or not isinstance(started_at, int):
            started_at = None
        return Heartbeat(
            instance=instance,
            started_at=started_at,
            sequence=read_integer(table, 'sequence', 0),
            phase=_PHASE_BY_STATE[state],
            slots=read_count(table, 'slots', 1),
            cold_for=read_seconds(table, 'cold_remaining', 0.0),
            version=_read_version(table),
        )


def _read_version(table: dict[str, Any]) -> str:
    # A heartbeat without a usable version still reports the other fields.
    version = table.get('version')
    if not isinstance(version, str) or not version.isprintable():
        return ''
    return version


def _instance_in_path(request: HttpRequest, method: str) -> str | None:
    path = request.target.partition('?')[0]
    if request.method != method or not path.startswith(INSTANCES_PATH):
        return None
    name = unquote(path.removeprefix(INSTANCES_PATH))
    # The name is sent in a header of each call to the backend server.
    return name if name and name.isprintable() else None
