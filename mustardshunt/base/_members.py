"""Records of the nodes that are members of the deployment."""

import enum
from dataclasses import dataclass

from mustardshunt.base._identifiers import Incarnation, VmAddress


class MemberState(enum.StrEnum):
    """State of a member; says whether its backend server can take calls."""

    JOINING = 'joining'
    COLD = 'cold'
    READY = 'ready'
    DRAINING = 'draining'
    SUSPECT = 'suspect'
    SILENT = 'silent'
    GONE = 'gone'


@dataclass(frozen=True, slots=True)
class MemberRecord:
    """Record of one node; all members exchange the records they know.

    Parameters
    ----------
    incarnation : Incarnation
        Identifier of the node's process; changes with each restart.
    sequence : int
        Sequence number, which rises with each change of the record. Of two
        records of an incarnation, the one with the higher number is newer.
    data_centre : str
        Data centre of the VM.
    service : str
        Service of the backend server, empty when there is none.
    state : MemberState
        State of the node and its backend server.
    address : VmAddress
        Address at which the node accepts connections of its peers.
    """

    incarnation: Incarnation
    sequence: int
    data_centre: str
    service: str
    state: MemberState
    address: VmAddress
