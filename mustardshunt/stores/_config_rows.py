"""Keys and contents of the table rows of sheets and of VMs."""

import json
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any, Final

from mustardshunt.base import Incarnation
from mustardshunt.sheet import SheetHead, digest_content, encode_head
from mustardshunt.stores._protocols import Row

HEAD_KEY: Final = 'config/head'
# Each sheet version has a row of its own, which is committed together with the
# head. After a lost answer this row shows whether the operator's change was
# committed, even if later versions have replaced the head.
ACCEPTED_PREFIX: Final = 'config/accepted/'
VM_PREFIX: Final = 'vm/'
GONE_PREFIX: Final = 'gone/'


@dataclass(frozen=True, slots=True)
class VmView:
    """Row of a VM, as shown to operators.

    Parameters
    ----------
    incarnation : Incarnation
        Incarnation of the VM's node.
    field_by_name : mapping of str to object
        Fields of the row as the node wrote them; empty when the row is
        malformed.
    is_gone : bool
        Whether an operator declared the VM gone.
    """

    incarnation: Incarnation
    field_by_name: Mapping[str, Any]
    is_gone: bool


def accepted_key(head: SheetHead) -> str:
    """Return the key of the row that proves that a version was committed."""
    return f'{ACCEPTED_PREFIX}{head.version}'


def encode_accepted(head: SheetHead) -> str:
    """Return the content of the row that proves that a version was committed.

    The content is the digest of the head, so a row of another operator's sheet
    with the same version number differs.
    """
    return json.dumps({'head': digest_content(encode_head(head).encode())})


def decode_fields(row: Row) -> Mapping[str, Any]:
    """Return the fields of a row, empty when the row holds no JSON object."""
    try:
        content = json.loads(row.content)
    except ValueError:
        return {}
    return content if isinstance(content, dict) else {}
