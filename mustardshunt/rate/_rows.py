"""Rows of the share table and changes of them."""

import json
from collections.abc import Mapping
from dataclasses import dataclass

from mustardshunt.base import Incarnation, ParameterError, check_range
from mustardshunt.rate._units import FULL_SHARE_PPM, PARTITIONS


@dataclass(frozen=True, slots=True)
class ShareRow:
    """Who holds which share of a partition.

    Parameters
    ----------
    partition : int
        Number of the partition.
    version : int
        Version of the row in the table; 0 when it does not exist yet.
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
    """A row to be written if the table still has the expected version.

    Parameters
    ----------
    partition : int
        Number of the partition.
    expected_version : int
        Version that the row must have; 0 when it must be absent.
    share_by_holder : mapping of Incarnation to int
        The new shares.
    reason : str
        Why the change is made, for logs and sessions.
    """

    partition: int
    expected_version: int
    share_by_holder: Mapping[Incarnation, int]
    reason: str

    def row(self) -> ShareRow:
        """Return the row as it stands once the change is committed."""
        return ShareRow(
            self.partition,
            self.expected_version + 1,
            self.share_by_holder,
        )


def row_key(partition: int) -> str:
    """Return the key of a partition's row in the table.

    Examples
    --------
    >>> row_key(7)
    'shares/07'
    """
    return f'shares/{partition:02d}'


def encode_shares(share_by_holder: Mapping[Incarnation, int]) -> str:
    """Turn shares into the JSON text of a row.

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
    """Turn the JSON text of a row into a row.

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
        The text is not a mapping of holders to shares with a sum of at most
        1,000,000.
    """
    try:
        decoded = json.loads(content)
    except ValueError as error:
        raise ParameterError(f'share row is no JSON text: {error}') from error
    if not isinstance(decoded, dict):
        raise ParameterError(f'share row is {content!r}, allowed is an object')
    check_shares(decoded)
    check_range('partition', partition, 0, PARTITIONS - 1)
    return ShareRow(partition, version, decoded)


def check_shares(share_by_holder: Mapping[Incarnation, int]) -> None:
    """Check that shares are whole, positive and sum to at most the whole.

    Raises
    ------
    ParameterError
        A share or the sum is outside what is allowed.

    Examples
    --------
    >>> check_shares({Incarnation('a'): 600_000, Incarnation('b'): 600_000})
    Traceback (most recent call last):
    mustardshunt.base._errors.ParameterError: bad-parameter: sum of shares is \
1200000, allowed is 0 to 1000000
    """
    for holder, share in share_by_holder.items():
        if not isinstance(share, int):
            raise ParameterError(f'share of {holder} is {share!r}, not whole')
        check_range(f'share of {holder}', share, 1, FULL_SHARE_PPM)
    check_range(
        'sum of shares', sum(share_by_holder.values()), 0, FULL_SHARE_PPM
    )
