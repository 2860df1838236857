"""Formats the measurements and the estimates."""

import dataclasses
from collections.abc import Iterator

from mustardshunt.measure.capacity._estimates import Estimate
from mustardshunt.measure.capacity._measurements import Measurements


def format_measurements(measurements: Measurements) -> Iterator[str]:
    """Yield a line for each group of measurements."""
    for field in dataclasses.fields(measurements):
        group = getattr(measurements, field.name)
        if isinstance(group, tuple):
            for item in group:
                yield f'{field.name}: {_describe(item)}'
        else:
            yield f'{field.name}: {_describe(group)}'


def format_estimates(estimates: list[Estimate]) -> Iterator[str]:
    """Yield the lines of a Markdown table of the estimates."""
    yield '| Role | Estimate | Total | Limit | Derivation |'
    yield '| --- | --- | --- | --- | --- |'
    for estimate in estimates:
        total = f'{estimate.total:.4g} {estimate.unit}'.strip()
        limit = '' if estimate.limit is None else f'{estimate.limit:g}'
        if estimate.is_over and estimate.limit:
            limit = (
                f'{limit}, over by {estimate.total / estimate.limit:.1f} times'
            )
        cells = (
            estimate.role,
            estimate.name,
            total,
            limit,
            estimate.derivation,
        )
        yield '| {} |'.format(' | '.join(cells))


def _describe(group: object) -> str:
    if not dataclasses.is_dataclass(group):
        return str(group)
    return ', '.join(
        f'{field.name}={_round(getattr(group, field.name))}'
        for field in dataclasses.fields(group)
    )


def _round(number: object) -> str:
    return f'{number:.4g}' if isinstance(number, float) else str(number)
