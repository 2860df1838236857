"""Interfaces between a sidecar and the platform that it runs on."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Protocol, TypeAlias

from mustardshunt.base import ErrorCode, MustardshuntError, Revision
from mustardshunt.load_balancing import Member
from mustardshunt.policy import Policy
from mustardshunt.relay import (
    AnswerHead,
    Call,
    HttpRequest,
    HttpResponse,
    RawHeaders,
)
from mustardshunt.rollouts import RolloutOrder


class PlatformError(MustardshuntError):
    """The platform did not answer a request, or refused it.

    Parameters
    ----------
    message : str
        What was requested and how the platform answered.
    """

    def __init__(self, message: str) -> None:
        super().__init__(ErrorCode.PLATFORM_UNAVAILABLE, message)


class HistoryLostError(PlatformError):
    """The platform no longer stores the changes since a given revision."""


class EraChangedError(HistoryLostError):
    """The platform has come back from a copy and lacks its last changes."""


@dataclass(frozen=True, slots=True)
class RequestMetadata:
    """Values that are read from the headers of a request.

    Parameters
    ----------
    request_id : str
        Identifier of the request, empty if the header is missing.
    seconds_left : float or None
        Seconds for which the caller still waits, None if the header is
        missing.
    key : str or None
        API key of the caller, None if the header is missing.
    """

    request_id: str
    seconds_left: float | None
    key: str | None


@dataclass(frozen=True, slots=True)
class AnswerMetadata:
    """Values that are read from the headers of a backend server's answer.

    Parameters
    ----------
    is_stamped : bool
        Whether the answer has the header that only a backend server sets.
    says_not_run : bool
        Whether the backend server reports that it did not run the request.
    is_wrong_instance : bool
        Whether an instance other than the expected one has answered.
    is_encoded : bool
        Whether the body has a content encoding, which the backend server
        does not use.
    is_leaving : bool
        Whether the backend server says that it leaves.
    request_limit : float or None
        Requests a second that the backend server takes from all nodes together,
        None if it names no limit.
    malformed : str
        What is wrong with a header about the backend server, empty if nothing
        is. Such a header is left out.
    """

    is_stamped: bool
    says_not_run: bool
    is_wrong_instance: bool
    is_encoded: bool
    is_leaving: bool
    request_limit: float | None
    malformed: str


@dataclass(frozen=True, slots=True)
class ServerHealth:
    """State of a backend server that takes calls, as a health check tells it.

    Parameters
    ----------
    instance : str
        Identifier of the process.
    cold_for : float
        Remaining duration of the cold start in seconds, 0 when warm.
    """

    instance: str
    cold_for: float


class HeaderCodec(Protocol):
    """Reads and writes the HTTP headers that the platform defines."""

    @property
    def reserved_headers(self) -> frozenset[bytes]:
        """Lower-case names of request headers that callers cannot set."""
        ...

    def read_request(self, request: HttpRequest) -> RequestMetadata:
        """Return the values in the headers of a caller's request."""
        ...

    def render_backend_headers(
        self, call: Call, instance: str, left_ms: int
    ) -> bytes:
        """Return the header lines that are added for the backend server."""
        ...

    def matches_request(self, head: AnswerHead, request_id: str) -> bool:
        """Tell whether an answer carries the identifier of a request."""
        ...

    def read_answer(self, status: int, headers: RawHeaders) -> AnswerMetadata:
        """Return the values in the headers of an answer."""
        ...

    def read_health(
        self, status: int, headers: RawHeaders
    ) -> ServerHealth | None:
        """Return what a health check tells, None if no calls are taken."""
        ...


@dataclass(frozen=True, slots=True)
class OperatorUpdate:
    """Policy and evacuations that operators have declared.

    Parameters
    ----------
    revision : Revision
        Revision of the platform up to which the update is complete.
    policy : Policy or None
        Policy, None if it has not changed or cannot be parsed.
    document : bytes
        Text of the policy, to pass on to nodes that cannot reach the platform.
    evacuated : tuple of (str, Revision)
        Names of evacuated data centres, each with the revision of its
        evacuation.
    restored : tuple of (str, Revision)
        Names of data centres that are back in service, each with the
        revision of its return.
    is_snapshot : bool
        Whether the update names all evacuated data centres, so that every
        other data centre is in service.
    newest_change : Revision
        Revision of the newest change in the update, ``NO_REVISION`` if there is
        none.
    orders : tuple of RolloutOrder
        Orders of rollouts, if the platform has sent the update.
    """

    revision: Revision
    policy: Policy | None
    document: bytes
    evacuated: tuple[tuple[str, Revision], ...]
    restored: tuple[tuple[str, Revision], ...]
    is_snapshot: bool
    newest_change: Revision
    orders: tuple[RolloutOrder, ...] = ()


class OperatorSource(Protocol):
    """Source of the policies and evacuations that operators declare."""

    async def read(self) -> OperatorUpdate:
        """Return a snapshot of the policy and all evacuations.

        Raises
        ------
        PlatformError
            The platform cannot be reached.
        """
        ...

    async def changes(self, revision: Revision, wait: float) -> OperatorUpdate:
        """Return the changes since a revision.

        Waits up to ``wait`` seconds for a change if there is none.

        Raises
        ------
        HistoryLostError
            The platform no longer stores these changes.
        PlatformError
            The platform cannot be reached.
        """
        ...

    def parse(self, document: bytes) -> Policy | None:
        """Return the policy in a text, None if the text is not valid."""
        ...


@dataclass(frozen=True, slots=True)
class VerdictRecord:
    """Verdict on a request that crashes backend servers, as it is kept.

    Parameters
    ----------
    fingerprint : str
        Fingerprint whose calls are refused.
    level : int
        Suspicion level at the node that has reached the verdict.
    ends_at : float
        Time of day at which the quarantine ends, in seconds since the epoch.
    crashes : tuple of str
        Nodes beside the last backend servers that crashed under the request.
    """

    fingerprint: str
    level: int
    ends_at: float
    crashes: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class MemberUpdate:
    """Snapshot of the registered nodes, or changes since a revision.

    Parameters
    ----------
    revision : Revision
        Revision of the platform up to which the update is complete.
    changed : tuple of Member
        Registered nodes, the most recently changed one last.
    removed : tuple of str
        Names of nodes whose entries were removed.
    is_snapshot : bool
        Whether ``changed`` contains all registered nodes, so that no other
        node is registered.
    newest_change : Revision
        Revision of the newest change in the update, ``NO_REVISION`` if there is
        none.
    verdicts : tuple of VerdictRecord
        Verdicts that were kept, if the platform has sent the update.
    """

    revision: Revision
    changed: tuple[Member, ...]
    removed: tuple[str, ...]
    is_snapshot: bool
    newest_change: Revision
    verdicts: tuple[VerdictRecord, ...] = ()


class MemberDirectory(Protocol):
    """Directory in which nodes register to find each other."""

    async def register(self, member: Member, replaces: bool) -> bool:
        """Write the entry of a node.

        Parameters
        ----------
        member : Member
            Entry of the node.
        replaces : bool
            Whether an entry of another process of the node is replaced.

        Returns
        -------
        bool
            Whether there was an entry of another process of the node.

        Raises
        ------
        PlatformError
            The platform did not confirm the entry, which may have been
            written nevertheless.
        """
        ...

    async def remove(self, member: Member) -> None:
        """Remove the entry of a node unless another process has written it."""
        ...

    async def read(self) -> MemberUpdate:
        """Return a snapshot of all entries."""
        ...

    async def changes(self, revision: Revision, wait: float) -> MemberUpdate:
        """Return the entries that have changed since a revision.

        Waits up to ``wait`` seconds for a change if there is none.
        """
        ...


class VerdictDirectory(Protocol):
    """Keeps verdicts beyond the lifetime of all nodes."""

    async def write(self, record: VerdictRecord) -> None:
        """Keep a verdict.

        Raises
        ------
        PlatformError
            The platform did not confirm the record, which may have been
            written nevertheless.
        """
        ...

    async def remove(self, fingerprint: str) -> None:
        """Remove the verdict on a request, if there is one.

        Raises
        ------
        PlatformError
            The platform did not confirm the removal.
        """
        ...


ControlHandler: TypeAlias = Callable[[HttpRequest], HttpResponse]
BackgroundTask: TypeAlias = Callable[[], Awaitable[None]]


class RunAdmission(Protocol):
    """Knows whether the calls of a run can be retried."""

    def record_run(self, is_repeat: bool, now: float) -> None:
        """Count a run of the backend server."""
        ...

    def lacks_retries(
        self, priority_rank: int, running: int, now: float
    ) -> bool:
        """Tell whether too few retries are left for another run."""
        ...
