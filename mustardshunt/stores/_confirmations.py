"""Reports of the sheet version that is active in each data centre."""

import json
from collections.abc import Sequence
from dataclasses import dataclass

from mustardshunt.base import Incarnation, MustardshuntError
from mustardshunt.stores._contents import decode_content
from mustardshunt.stores._protocols import (
    ConflictError,
    OutcomeUnknownError,
    Row,
    TableService,
    Write,
)
from mustardshunt.stores._verified_writes import attempt_write

_PREFIX = 'confirm/'
_NO_REPORTER = Incarnation('')
# One node, the reporter, writes the report of its data centre. Two nodes do so
# only while the reporter changes. After this many conflicts a node gives up and
# reports again in its next period.
_MAX_ATTEMPTS = 3


@dataclass(frozen=True, slots=True)
class Confirmation:
    """Report of the sheet version that is active in a data centre.

    Parameters
    ----------
    data_centre : str
        Data centre that the report describes.
    version : int
        Lowest sheet version that is active on any node of the data centre.
    lagging : tuple of Incarnation, default=()
        Nodes whose version is below the highest version that the reporter
        knows.
    reporter : Incarnation, default=''
        Node that wrote the report.
    """

    data_centre: str
    version: int
    lagging: tuple[Incarnation, ...] = ()
    reporter: Incarnation = _NO_REPORTER


class ConfirmationStore:
    """Reads and writes the reports of all data centres.

    Each data centre has one row, ``confirm/<data centre>``.

    A new report replaces the previous report of the same data centre.

    Parameters
    ----------
    table : TableService
        Table service with the rows.
    """

    def __init__(self, table: TableService) -> None:
        self._table = table

    async def write(self, confirmation: Confirmation) -> None:
        """Write a data centre's report, which replaces the previous report.

        Raises
        ------
        ConflictError
            At each attempt another reporter changed the row first.
        PlatformUnavailableError
            Nothing was written.
        OutcomeUnknownError
            It is not known whether the report was written.
        """
        key = f'{_PREFIX}{confirmation.data_centre}'
        content = _encode(confirmation)
        for _ in range(_MAX_ATTEMPTS):
            row = await self._table.read_row(key)
            version = row.version if row is not None else 0
            write = Write(key, version, content)
            failure = await attempt_write(self._table, write, None)
            if failure is None:
                return
            if isinstance(failure, OutcomeUnknownError):
                raise failure
        raise ConflictError(
            f'row {key!r} was changed by other reporters at each of '
            f'{_MAX_ATTEMPTS} attempts',
        )

    async def list_all(self) -> Sequence[Confirmation]:
        """Return the reports of all data centres, sorted by data centre.

        A malformed row counts as a report of version 0, so that operators
        still see the reports of the other data centres.

        Raises
        ------
        PlatformUnavailableError
            The rows could not be read.
        """
        return [
            _decode_or_version_0(row)
            for row in await self._table.list_rows(_PREFIX)
        ]


def _encode(confirmation: Confirmation) -> str:
    return json.dumps({
        'version': confirmation.version,
        'lagging': confirmation.lagging,
        'reporter': confirmation.reporter,
    })


def _decode_or_version_0(row: Row) -> Confirmation:
    try:
        return _decode(row)
    except MustardshuntError:
        return Confirmation(row.key.removeprefix(_PREFIX), 0)


def _decode(row: Row) -> Confirmation:
    return decode_content(
        row,
        'a confirmation',
        lambda body: Confirmation(
            row.key.removeprefix(_PREFIX),
            body['version'],
            tuple(Incarnation(name) for name in body['lagging']),
            Incarnation(body.get('reporter', '')),
        ),
    )
