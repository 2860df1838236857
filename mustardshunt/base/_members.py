"""Records of the nodes that are members of the deployment."""

import enum
from dataclasses import dataclass

from mustardshunt.base._identifiers import Incarnation, VmAddress


class MemberState(enum.StrEnum):
    """State of a member and of the backend server beside the member.

    The state says whether the backend server can take calls.
    """

    JOINING = 'joining'
    COLD = 'cold'
    READY = 'ready'
    DRAINING = 'draining'
    SUSPECT = 'suspect'
    SILENT = 'silent'
    GONE = 'gone'


@dataclass(frozen=True, slots=True)
class MemberRecord:
    """Record of one node of the deployment.

    All members exchange the records that they know.

    Parameters
    ----------
    incarnation : Incarnation
        Identifier of the node's process; changes with each restart.
    sequence : int
        Sequence number, which rises with each change of the record. If two
        records have the same incarnation, the record with the higher sequence
        number is newer.
    data_centre : str
        Data centre of the VM.
    service : str
        Service of the backend server, empty when there is none.
    state : MemberState
        State of the node and of the node's backend server.
    address : VmAddress
        Address at which the node accepts connections of other nodes.
    """

    incarnation: Incarnation
    sequence: int
    data_centre: str
    service: str
    state: MemberState
    address: VmAddress
