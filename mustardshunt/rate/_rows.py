"""Rows of the share table, their changes and their encoding.

A row states which nodes (holders) hold which shares of the rates of the
organisations in one partition.
"""

import json
from collections.abc import Mapping
from dataclasses import dataclass

from mustardshunt.base import Incarnation, ParameterError, check_range
from mustardshunt.rate._units import FULL_SHARE_PPM, PARTITIONS


@dataclass(frozen=True, slots=True)
class ShareRow:
    """Shares of the holders of one partition.

    Parameters
    ----------
    partition : int
        Number of the partition.
    version : int
        Version of the row in the table; 0 when the row does not exist yet.
    share_by_holder : mapping of Incarnation to int
        Shares in parts per million; the sum is at most 1,000,000.
    """

    partition: int
    version: int
    share_by_holder: Mapping[Incarnation, int]

    def share_of(self, holder: Incarnation) -> int:
        """Return the share of one holder in parts per million."""
        return self.share_by_holder.get(holder, 0)


@dataclass(frozen=True, slots=True)
class ShareChange:
    """New content of a row, to be written by compare-and-set.

    Parameters
    ----------
    partition : int
        Number of the partition.
    expected_version : int
        Version that the row must have in the table; 0 when the row must not
        exist yet.
    share_by_holder : mapping of Incarnation to int
        New shares in parts per million.
    reason : str
        Reason for the change, shown in logs and recorded sessions.
    """

    partition: int
    expected_version: int
    share_by_holder: Mapping[Incarnation, int]
    reason: str

    def row(self) -> ShareRow:
        """Return the row that the table has once this change is written."""
        return ShareRow(
            self.partition,
            self.expected_version + 1,
            self.share_by_holder,
        )


def row_key(partition: int) -> str:
    """Return the key under which the table stores a partition's row.

    Examples
    --------
    >>> row_key(7)
    'shares/07'
    """
    return f'shares/{partition:02d}'


def encode_shares(share_by_holder: Mapping[Incarnation, int]) -> str:
    """Encode shares as the JSON text that the table stores for a row.

    Examples
    --------
    >>> encode_shares({Incarnation('b'): 1, Incarnation('a'): 2})
    '{"a":2,"b":1}'
    """
    return json.dumps(
        dict(share_by_holder),
        sort_keys=True,
        separators=(',', ':'),
    )


def decode_row(partition: int, version: int, content: str) -> ShareRow:
    """Decode the JSON text of a row.

    Parameters
    ----------
    partition : int
        Number of the partition.
    version : int
        Version of the row.
    content : str
        JSON text.

    Raises
    ------
    ParameterError
        The text is not a JSON object of holders and shares, a share is not an
        integer from 1 to 1,000,000, the sum is above 1,000,000, or there is no
        such partition.
    """
    try:
        decoded = json.loads(content)
    except ValueError as error:
        raise ParameterError(
            f'share row of partition {partition} is not valid JSON: {error}'
        ) from error
    if not isinstance(decoded, dict):
        raise ParameterError(
            f'share row of partition {partition}: expected a JSON object, '
            f'got {content!r}'
        )
    check_shares(decoded)
    check_range('partition', partition, 0, PARTITIONS - 1)
    return ShareRow(partition, version, decoded)


def check_shares(share_by_holder: Mapping[Incarnation, int]) -> None:
    """Check that shares are positive integers with a sum of at most 1,000,000.

    Raises
    ------
    ParameterError
        A share is not an integer from 1 to 1,000,000, or the sum is larger.

    Examples
    --------
    >>> check_shares({Incarnation('a'): 600_000, Incarnation('b'): 600_000})
    Traceback (most recent call last):
    mustardshunt.base._errors.ParameterError: bad-parameter: sum of shares is \
1200000, allowed is 0 to 1000000
    """
    for holder, share in share_by_holder.items():
        if not isinstance(share, int):
            raise ParameterError(
                f'share of {holder}: expected an integer, got {share!r}'
            )
        check_range(f'share of {holder}', share, 1, FULL_SHARE_PPM)
    check_range(
        'sum of shares', sum(share_by_holder.values()), 0, FULL_SHARE_PPM
    )
