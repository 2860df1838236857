"""Decoder of the policy document that operators write."""

from typing import Any, Final

from loguru import logger

from mustardshunt.platform._values import (
    MalformedError,
    parse_json,
    read_count,
    read_integer,
    read_json_object,
    read_number,
    read_printable,
    read_seconds,
    read_text,
)
from mustardshunt.policy import (
    OrganisationPolicy,
    Policy,
    RequestLimits,
    RoutePolicy,
    ServicePolicy,
    WeightedService,
)

_IDEMPOTENT_KIND: Final = 'idempotent'
_DEFAULT_TIMEOUT_SECONDS: Final = 5.0


def decode_policy(document: bytes) -> Policy | None:
    """Decode the JSON document of a policy.

    Malformed entries are logged and left out. The other entries apply.

    Parameters
    ----------
    document : bytes
        JSON text that operators wrote.

    Returns
    -------
    Policy or None
        None when the document is not a JSON object, or when its version is
        missing or not an integer of 0 or more.
    """
    try:
        table = read_json_object(parse_json(document))
        version = read_integer(table, 'version', -1)
    except MalformedError as error:
        logger.bind(error=str(error)).warning(
            'malformed policy document ignored'
        )
        return None
    organisations = _decode_entries(table, 'tenants', _decode_organisation)
    return Policy(
        version,
        _decode_entries(table, 'routes', _decode_route),
        _decode_entries(table, 'services', _decode_service),
        organisations,
        _organisation_by_key(table, organisations),
        _decode_limits(table.get('limits')),
    )


def _decode_entries(
    table: dict[str, Any], name: str, decode: Any
) -> dict[str, Any]:
    decoded = {}
    entries = table.get(name, {})
    if not isinstance(entries, dict):
        return {}
    for key, entry in entries.items():
        try:
            decoded[key] = decode(key, read_json_object(entry))
        except MalformedError as error:
            logger.bind(entry=key, error=str(error)).warning(
                'malformed entry of the policy document left out',
            )
    return decoded


def _decode_route(name: str, entry: dict[str, Any]) -> RoutePolicy:
    timeout = read_seconds(entry, 'timeout', _DEFAULT_TIMEOUT_SECONDS)
    return RoutePolicy(
        name=name,
        host=read_text(entry, 'host').lower(),
        prefix=read_text(entry, 'prefix'),
        # A route of an unknown kind counts as non-idempotent, so requests of
        # the route are never retried.
        is_idempotent=entry.get('kind') == _IDEMPOTENT_KIND,
        timeout=timeout,
        latency_objective=read_seconds(entry, 'target_latency', timeout),
        priority=read_count(entry, 'priority', 0),
        weighted_services=_decode_weighted_services(entry),
        max_attempts=max(1, read_count(entry, 'max_attempts', 1)),
        is_public=entry.get('auth_exempt') is True,
    )


def _decode_weighted_services(
    entry: dict[str, Any],
) -> tuple[WeightedService, ...]:
    targets = entry.get('weighted_targets')
    if not targets:
        return (WeightedService(read_text(entry, 'service'), 1.0),)
    if not isinstance(targets, list):
        raise MalformedError(
            f'weighted_targets: expected a list, found {targets!r}',
        )
    weighted_services = []
    for target in targets:
        fields = read_json_object(target)
        weight = read_number(fields, 'weight', 1.0)
        if weight > 0:
            weighted_services.append(
                WeightedService(read_text(fields, 'service'), weight)
            )
    if not weighted_services:
        raise MalformedError(
            'weighted_targets: expected a weight above 0, found none'
        )
    return tuple(weighted_services)


def _decode_service(name: str, entry: dict[str, Any]) -> ServicePolicy:
    return ServicePolicy(
        name=name,
        health_path=entry.get('health_path') or '/healthz',
        max_connections=read_count(entry, 'max_connections', 0) or 2**31,
        warmup=read_seconds(entry, 'warmup', 0.0),
        cold_rate=read_number(entry, 'cold_per_s', 0.0),
    )


def _decode_organisation(
    name: str,
    entry: dict[str, Any],
) -> OrganisationPolicy:
    priority = None
    if 'priority' in entry:
        priority = read_count(entry, 'priority', 0)
    return OrganisationPolicy(
        name=read_printable(name, 'tenant'),
        priority=priority,
        rate=read_number(entry, 'rate_per_s', 0.0),
        burst=read_number(entry, 'burst', 0.0),
    )


def _organisation_by_key(
    table: dict[str, Any],
    organisations: dict[str, OrganisationPolicy],
) -> dict[str, str]:
    name_by_key = {}
    for name in organisations:
        keys = table['tenants'][name].get('api_keys')
        if not isinstance(keys, list):
            continue
        for key in keys:
            if isinstance(key, str) and key:
                name_by_key[key] = name
    return name_by_key


def _decode_limits(entry: Any) -> RequestLimits:
    default = RequestLimits()
    try:
        table = read_json_object(entry)
        return RequestLimits(
            read_count(table, 'max_header_bytes', default.max_header_bytes),
            read_count(table, 'max_body_bytes', default.max_body_bytes),
            read_seconds(table, 'header_timeout', default.header_timeout),
            read_seconds(table, 'idle_timeout', default.idle_timeout),
        )
    except MalformedError as error:
        logger.bind(error=str(error)).warning(
            'request limits missing or malformed, defaults apply'
        )
        return default
