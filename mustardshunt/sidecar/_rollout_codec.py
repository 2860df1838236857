"""Frames in which nodes tell each other of rollouts."""

import math
from typing import Any, Final

import cbor2

from mustardshunt.relay import (
    FrameError,
    RolloutReportFrame,
    RolloutStageFrame,
)
from mustardshunt.rollouts import (
    RolloutPhase,
    RolloutStage,
    RouteEvidence,
    UpstreamReport,
    VersionEvidence,
)

# Bounds of what a peer may send; larger frames come from no node.
_MAX_ITEMS: Final = 4096
_MAX_COUNT: Final = 2**53
_MAX_NAME_LENGTH: Final = 256
_MAX_SECONDS: Final = 86400.0
_STAGE_TYPES: Final = (int, str, list, list, float)
_REPORT_TYPES: Final = (int, bool, bool, int, bool, list)
_ROUTE_TYPES: Final = (str, int, int, dict)


def encode_stage(stage: RolloutStage, seconds_left: float) -> RolloutStageFrame:
    """Return the frame for a stage.

    Parameters
    ----------
    stage : RolloutStage
        The stage.
    seconds_left : float
        Time for which the receiver may use it; the nodes' clocks differ.
    """
    details = [
        stage.decider_rank,
        stage.decider,
        list(stage.members),
        list(stage.targets),
        float(stage.failure_rate),
        stage.former,
    ]
    return RolloutStageFrame(
        stage.service,
        stage.target,
        stage.order,
        stage.phase.value,
        stage.term,
        stage.number,
        float(stage.share),
        float(seconds_left),
        cbor2.dumps(details),
    )


def decode_stage(frame: RolloutStageFrame) -> tuple[RolloutStage, float]:
    """Return the stage that a frame stands for, and the time that is left.

    Raises
    ------
    FrameError
        A field cannot be decoded or is out of its range.
    """
    details = _decode_list(frame.details)
    former = details.pop() if details else None
    if not _has_types(details, _STAGE_TYPES):
        raise FrameError('expected the details of a stage')
    if former is not None:
        former = _check_name(former)
    rank, decider, members, targets, failure_rate = details
    try:
        phase = RolloutPhase(frame.phase)
    except ValueError as error:
        raise FrameError(f'expected a phase: {error}') from error
    stage = RolloutStage(
        _check_name(frame.service),
        _check_name(frame.target),
        former,
        frame.order,
        phase,
        _check_count(frame.term),
        _check_count(frame.number),
        _check_number(frame.share, 1.0),
        _check_count(rank),
        _check_name(decider),
        tuple(_check_name(name) for name in members),
        tuple(_check_name(name) for name in targets),
        _check_number(failure_rate, 1.0),
    )
    return stage, _check_number(frame.seconds_left, _MAX_SECONDS)


def encode_report(report: UpstreamReport) -> RolloutReportFrame:
    """Return the frame for a report."""
    details = [
        report.started_at,
        report.is_ready,
        report.is_cold,
        report.in_flight,
        report.is_fused,
        [
            [name, route.answers, route.failures, dict(route.durations)]
            for name, route in report.evidence.by_route.items()
        ],
    ]
    return RolloutReportFrame(
        report.node,
        report.incarnation,
        report.sequence,
        report.service,
        report.version,
        report.target,
        cbor2.dumps(details),
    )


def decode_report(frame: RolloutReportFrame) -> UpstreamReport:
    """Return the report that a frame stands for.

    Raises
    ------
    FrameError
        A field cannot be decoded or is out of its range.
    """
    details = _decode_list(frame.details)
    if not _has_types(details, _REPORT_TYPES):
        raise FrameError('expected the details of a report')
    started_at, is_ready, is_cold, in_flight, is_fused = details[:-1]
    return UpstreamReport(
        _check_name(frame.node),
        _check_name(frame.incarnation),
        _check_count(frame.sequence),
        _check_name(frame.service),
        _check_name(frame.version),
        _check_name(frame.target),
        -1 if started_at < 0 else _check_count(started_at),
        is_ready,
        is_cold,
        _check_count(in_flight),
        is_fused,
        VersionEvidence(_decode_routes(details[-1])),
    )


def _decode_routes(routes: list[Any]) -> dict[str, RouteEvidence]:
    by_route = {}
    for route in routes:
        if not _has_types(route, _ROUTE_TYPES):
            raise FrameError(f'expected a route, found {route!r:.80}')
        name, answers, failures, durations = route
        for bucket, count in durations.items():
            _check_count(bucket)
            _check_count(count)
        by_route[_check_name(name)] = RouteEvidence(
            _check_count(answers), _check_count(failures), durations
        )
    return by_route


def _decode_list(encoded: bytes) -> list[Any]:
    try:
        items = cbor2.loads(encoded)
    except (cbor2.CBORDecodeError, ValueError, RecursionError) as error:
        raise FrameError(f'not CBOR: {error}') from error
    if not isinstance(items, list) or len(items) > _MAX_ITEMS:
        raise FrameError(f'expected an array, found {type(items).__name__}')
    return items


def _has_types(found: Any, types: tuple[type[Any], ...]) -> bool:
    return isinstance(found, list) and tuple(map(type, found)) == types


def _check_name(found: Any) -> str:
    if not isinstance(found, str) or len(found) > _MAX_NAME_LENGTH:
        raise FrameError(f'expected a short text, found {found!r:.80}')
    return found


def _check_count(found: Any) -> int:
    is_integer = isinstance(found, int) and not isinstance(found, bool)
    if not is_integer or not 0 <= found <= _MAX_COUNT:
        raise FrameError(f'expected a count, found {found!r:.80}')
    return int(found)


def _check_number(found: float, most: float) -> float:
    if not math.isfinite(found) or not 0 <= found <= most:
        raise FrameError(f'expected a number, found {found!r:.80}')
    return found
