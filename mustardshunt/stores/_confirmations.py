"""Which configuration is in force in each data centre."""

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
_NOBODY = Incarnation('')
# Reporters change rarely; more conflicts than this are left for the next
# period.
_ATTEMPTS = 3


@dataclass(frozen=True, slots=True)
class Confirmation:
    """What a data centre's reporter has seen.

    Parameters
    ----------
    data_centre : str
        Data centre.
    version : int
        Lowest configuration version in force there.
    lagging : tuple of Incarnation, default=()
        Nodes below the highest version that the reporter knows.
    reporter : Incarnation, default=''
        Node that reports.
    """

    data_centre: str
    version: int
    lagging: tuple[Incarnation, ...] = ()
    reporter: Incarnation = _NOBODY


class ConfirmationStore:
    """Rows ``confirm/<data centre>``; the last report counts.

    Parameters
    ----------
    table : TableService
        Table.
    """

    def __init__(self, table: TableService) -> None:
        self._table = table

    async def write(self, confirmation: Confirmation) -> None:
        """Report for a data centre, whatever stood there before.

        Raises
        ------
        ConflictError
            Other reporters were first each time.
        PlatformUnavailableError
            Nothing was written.
        OutcomeUnknownError
            It is not known whether the report was written.
        """
        key = f'{_PREFIX}{confirmation.data_centre}'
        content = _encode(confirmation)
        for _ in range(_ATTEMPTS):
            row = await self._table.read_row(key)
            version = row.version if row is not None else 0
            write = Write(key, version, content)
            failure = await attempt_write(self._table, write, None)
            if failure is None:
                return
            if isinstance(failure, OutcomeUnknownError):
                raise failure
        raise ConflictError(f'row {key!r} changed {_ATTEMPTS} times')

    async def list_all(self) -> Sequence[Confirmation]:
        """Return the reports of all data centres by name.

        A row that cannot be read counts as a report of version 0, so that it
        hides no other data centre from operators.

        Raises
        ------
        PlatformUnavailableError
            The rows could not be read.
        """
        return [_read(row) for row in await self._table.list_rows(_PREFIX)]


def _encode(confirmation: Confirmation) -> str:
    return json.dumps({
        'version': confirmation.version,
        'lagging': confirmation.lagging,
        'reporter': confirmation.reporter,
    })


def _read(row: Row) -> Confirmation:
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
