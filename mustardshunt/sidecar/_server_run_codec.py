"""Codec of the run of a backend server and its limit in frames."""

import math
from typing import Final

from mustardshunt.upstream import ServerRun

# Stand for an unknown start time and for no limit, since the fields of frames
# have one type.
_UNKNOWN_START: Final = -1
_NO_LIMIT: Final = -1.0


def encode_run(run: ServerRun | None) -> tuple[str, int]:
    """Return the instance and the start of a run.

    Examples
    --------
    >>> encode_run(ServerRun('i-1', None))
    ('i-1', -1)
    >>> encode_run(None)
    ('', -1)
    """
    if run is None:
        return '', _UNKNOWN_START
    if run.started_at is None:
        return run.instance, _UNKNOWN_START
    return run.instance, run.started_at


def decode_run(instance: str, started_at: int) -> ServerRun | None:
    """Return the run that two fields name, None if they name no run.

    Examples
    --------
    >>> decode_run('i-1', -1)
    ServerRun(instance='i-1', started_at=None)
    """
    if not instance:
        return None
    return ServerRun(
        instance, None if started_at == _UNKNOWN_START else started_at
    )


def encode_limit(rate: float | None) -> float:
    """Return the field for a limit in requests a second, or for none."""
    return _NO_LIMIT if rate is None else rate


def decode_limit(field: float) -> float | None:
    """Return the limit in requests a second, None if the field has none.

    Examples
    --------
    >>> decode_limit(encode_limit(2.5)), decode_limit(encode_limit(None))
    (2.5, None)
    >>> decode_limit(float('inf')), decode_limit(float('nan'))
    (None, None)
    """
    return field if field >= 0 and math.isfinite(field) else None
