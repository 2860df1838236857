"""Rows of the table that concern the configuration and the VMs."""

import json
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any, Final

from mustardshunt.base import Incarnation
from mustardshunt.sheet import SheetHead, digest_content, encode_head
from mustardshunt.stores._protocols import Row

HEAD_KEY: Final = 'config/head'
# One row for each version, written with the head. After a lost answer it tells
# whether the operator's own change was made, also when others followed it.
ACCEPTED_PREFIX: Final = 'config/accepted/'
VM_PREFIX: Final = 'vm/'
GONE_PREFIX: Final = 'gone/'


@dataclass(frozen=True, slots=True)
class VmView:
    """A VM's row, for people.

    Parameters
    ----------
    incarnation : Incarnation
        Run of the VM's node.
    field_by_name : mapping of str to object
        The row's fields as the node wrote them.
    is_gone : bool
        Whether an operator declared the VM gone.
    """

    incarnation: Incarnation
    field_by_name: Mapping[str, Any]
    is_gone: bool


def accepted_key(head: SheetHead) -> str:
    """Return the key of the row that records a version's acceptance."""
    return f'{ACCEPTED_PREFIX}{head.version}'


def encode_accepted(head: SheetHead) -> str:
    """Return what the row of an accepted version holds."""
    return json.dumps({'head': digest_content(encode_head(head).encode())})


def decode_fields(row: Row) -> Mapping[str, Any]:
    """Return the fields of a row, none when it holds no JSON object."""
    try:
        content = json.loads(row.content)
    except ValueError:
        return {}
    return content if isinstance(content, dict) else {}
