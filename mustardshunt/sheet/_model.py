"""Data classes of a sheet, and look-ups of routes and organisations.

A sheet is the versioned table of organisations, keys, routes and data centres
that operators accept.
"""

import enum
import hashlib
from collections.abc import Mapping
from dataclasses import dataclass, field

from mustardshunt.base import Importance


class Access(enum.StrEnum):
    """Kind of callers that a route accepts.

    ``KEYED`` accepts callers with a key, ``OPEN`` all callers and ``INTERNAL``
    only backend servers.
    """

    KEYED = 'keyed'
    OPEN = 'open'
    INTERNAL = 'internal'


class DataCentreState(enum.StrEnum):
    """Whether a data centre accepts new requests.

    Operators set ``OUT`` to evacuate a data centre.
    """

    IN = 'in'
    OUT = 'out'


@dataclass(frozen=True, slots=True)
class Organisation:
    """An organisation and its usage cap.

    Parameters
    ----------
    name : str
        Name, unique in the sheet.
    rate : float
        Requests per second, over all nodes.
    burst : float
        Requests that may arrive at once, over all nodes.
    """

    name: str
    rate: float
    burst: float


@dataclass(frozen=True, slots=True)
class Route:
    """A path that callers or backend servers may call.

    Parameters
    ----------
    name : str
        Name, unique in the sheet.
    method : str
        HTTP method in upper case.
    path : str
        Exact path, or a prefix that ends in ``/*``.
    service : str
        Service whose backend servers answer the requests.
    importance : Importance
        Importance of requests that enter the system on this route.
    idempotent : bool
        Whether a request may run more than once.
    access : Access, default=Access.KEYED
        Callers that the route accepts.
    timeout : float, default=10.0
        Seconds until the deadline of a request that states none.
    """

    name: str
    method: str
    path: str
    service: str
    importance: Importance
    idempotent: bool
    access: Access = Access.KEYED
    timeout: float = 10.0


@dataclass(frozen=True, slots=True)
class SheetEdits:
    """Operators' edits that a later export must not undo.

    Parameters
    ----------
    issued : frozenset of str
        Digests of keys that operators have issued and that no planner's export
        lists yet.
    revoked : frozenset of str
        Digests of keys that operators have revoked permanently.
    taken_out : frozenset of str
        Data centres that operators have taken out of service. A planner's
        export cannot put them back into service.
    """

    issued: frozenset[str] = frozenset()
    revoked: frozenset[str] = frozenset()
    taken_out: frozenset[str] = frozenset()


@dataclass(frozen=True, slots=True)
class SheetDraft:
    """A valid sheet that is not yet accepted and therefore has no version.

    Parameters
    ----------
    organisation_by_name : mapping of str to Organisation
        Organisations by name.
    organisation_by_digest : mapping of str to str
        Name of the organisation for each SHA-256 digest of a key.
    route_by_name : mapping of str to Route
        Routes by name.
    state_by_data_centre : mapping of str to DataCentreState
        State of each data centre that the sheet names.
    edits : SheetEdits, default=SheetEdits()
        Operators' edits, which later exports must not undo.
    """

    organisation_by_name: Mapping[str, Organisation]
    organisation_by_digest: Mapping[str, str]
    route_by_name: Mapping[str, Route]
    state_by_data_centre: Mapping[str, DataCentreState]
    edits: SheetEdits = SheetEdits()


@dataclass(frozen=True, slots=True)
class Sheet:
    """One version of the table of organisations, keys, routes and data centres.

    Parameters
    ----------
    version : int
        Version number, from 1. It is 0 before operators accept the first sheet.
    organisation_by_name : mapping of str to Organisation
        Organisations by name.
    organisation_by_digest : mapping of str to str
        Name of the organisation for each SHA-256 digest of a key.
    route_by_name : mapping of str to Route
        Routes by name.
    state_by_data_centre : mapping of str to DataCentreState
        State of each data centre that the sheet names. Data centres that the
        sheet does not name are in service.
    edits : SheetEdits, default=SheetEdits()
        Operators' edits, which later exports must not undo.

    Examples
    --------
    >>> route = Route('stock', 'GET', '/stock/*', 'stock', Importance.HIGH,
    ...               idempotent=True)
    >>> sheet = Sheet(1, {}, {}, {'stock': route}, {})
    >>> sheet.find_route('GET', '/stock/glass?size=2').name
    'stock'
    >>> sheet.find_route('GET', '/other') is None
    True
    """

    version: int
    organisation_by_name: Mapping[str, Organisation]
    organisation_by_digest: Mapping[str, str]
    route_by_name: Mapping[str, Route]
    state_by_data_centre: Mapping[str, DataCentreState]
    edits: SheetEdits = SheetEdits()
    _route_by_target: dict[tuple[str, str], Route] = field(
        init=False,
        repr=False,
        compare=False,
        default_factory=dict,
    )

    def __post_init__(self) -> None:
        for route in self.route_by_name.values():
            self._route_by_target[route.method, route.path] = route

    def find_route(self, method: str, target: str) -> Route | None:
        """Return the route that a request matches.

        A route with the exact path comes first, then the route with the longest
        matching prefix.

        Parameters
        ----------
        method : str
            HTTP method in upper case.
        target : str
            Path and query of a request.

        Returns
        -------
        Route or None
            None when no route matches.
        """
        path = target.partition('?')[0]
        exact = self._route_by_target.get((method, path))
        if exact is not None:
            return exact
        prefix = path
        while prefix:
            prefix = prefix.rpartition('/')[0]
            found = self._route_by_target.get((method, f'{prefix}/*'))
            if found is not None:
                return found
        return None

    def find_organisation(self, key: str) -> str | None:
        """Return the organisation that a key belongs to.

        Parameters
        ----------
        key : str
            Plain key, as the caller sent it.

        Returns
        -------
        str or None
            Name of the organisation; None when the key is unknown or
            revoked.
        """
        return self.organisation_by_digest.get(digest_key(key))

    def to_draft(self) -> SheetDraft:
        """Return a draft (a sheet without a version) with the same content."""
        return SheetDraft(
            self.organisation_by_name,
            self.organisation_by_digest,
            self.route_by_name,
            self.state_by_data_centre,
            self.edits,
        )

    def is_out_of_service(self, data_centre: str) -> bool:
        """Return whether the sheet lists a data centre as out of service."""
        state = self.state_by_data_centre.get(data_centre)
        return state is DataCentreState.OUT


def digest_key(key: str) -> str:
    """Return the SHA-256 digest of a key in hexadecimal.

    Keys are random and 256 bits long. Even without a salt, a key therefore
    cannot be found from its digest.

    Examples
    --------
    >>> len(digest_key('a key'))
    64
    """
    return hashlib.sha256(key.encode()).hexdigest()
