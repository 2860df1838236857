"""Tables of the slopes and of the totals."""

import dataclasses
from collections.abc import Iterator

from mustardshunt.measure.capacity._estimates import Estimate
from mustardshunt.measure.capacity._measurements import Measurements


def format_measurements(slopes: Measurements) -> Iterator[str]:
    """Return a line for each slope."""
    for field in dataclasses.fields(slopes):
        part = getattr(slopes, field.name)
        if isinstance(part, tuple):
            for item in part:
                yield f'{field.name}: {_describe(item)}'
        else:
            yield f'{field.name}: {_describe(part)}'


def format_estimates(figures: list[Estimate]) -> Iterator[str]:
    """Return a line of a Markdown table for each figure."""
    yield '| Role | Figure | Total | Limit | From |'
    yield '| --- | --- | --- | --- | --- |'
    for figure in figures:
        total = f'{figure.total:.4g} {figure.unit}'.strip()
        limit = '' if figure.limit is None else f'{figure.limit:g}'
        if figure.is_over and figure.limit:
            limit = f'{limit}, over by {figure.total / figure.limit:.1f} times'
        cells = (figure.role, figure.name, total, limit, figure.derivation)
        yield '| {} |'.format(' | '.join(cells))


def _describe(part: object) -> str:
    if not dataclasses.is_dataclass(part):
        return str(part)
    return ', '.join(
        f'{field.name}={_round(getattr(part, field.name))}'
        for field in dataclasses.fields(part)
    )


def _round(number: object) -> str:
    return f'{number:.4g}' if isinstance(number, float) else str(number)
