"""What a sidecar needs of the platform that it runs on."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Protocol, TypeAlias

from aiohttp.http_parser import RawResponseMessage

from mustardshunt.base import ErrorCode, MustardshuntError
from mustardshunt.load_balancing import Member
from mustardshunt.policy import Policy
from mustardshunt.relay import Call, HttpRequest, HttpResponse, RawHeaders


class PlatformError(MustardshuntError):
    """The platform did not answer a call, or turned it away.

    Parameters
    ----------
    message : str
        What was asked and what came back.
    """

    def __init__(self, message: str) -> None:
        super().__init__(ErrorCode.PLATFORM_UNAVAILABLE, message)


class HistoryLostError(PlatformError):
    """The platform no longer knows the changes since a revision."""


@dataclass(frozen=True, slots=True)
class RequestMetadata:
    """What the headers of a request say.

    Parameters
    ----------
    request_id : str
        Identity of the request, empty if there is none.
    seconds_left : float or None
        Time for which the caller waits, None if it does not say.
    key : str or None
        Key of the caller, None if there is none.
    """

    request_id: str
    seconds_left: float | None
    key: str | None


@dataclass(frozen=True, slots=True)
class AnswerMetadata:
    """What the headers of a backend server's answer say.

    Parameters
    ----------
    is_stamped : bool
        Whether the answer bears the backend server's receipt.
    says_not_run : bool
        Whether the backend server says that it did not run the request.
    is_wrong_instance : bool
        Whether another run than the expected one has answered.
    is_encoded : bool
        Whether the body is not the one that the backend server made.
    """

    is_stamped: bool
    says_not_run: bool
    is_wrong_instance: bool
    is_encoded: bool


class HeaderCodec(Protocol):
    """Names and forms of the platform's headers."""

    @property
    def reserved_headers(self) -> frozenset[bytes]:
        """Request headers, in lower case, that callers cannot set."""
        ...

    def read_request(self, request: HttpRequest) -> RequestMetadata:
        """Return what a caller's headers say."""
        ...

    def render_backend_headers(
        self, call: Call, instance: str, left_ms: int
    ) -> bytes:
        """Return the header lines that are set for the backend server."""
        ...

    def matches_request(
        self, message: RawResponseMessage, request_id: str
    ) -> bool:
        """Tell whether an answer belongs to a request."""
        ...

    def read_answer(self, status: int, headers: RawHeaders) -> AnswerMetadata:
        """Return what an answer's headers say."""
        ...


@dataclass(frozen=True, slots=True)
class OperatorUpdate:
    """What operators have declared, as of one revision.

    Parameters
    ----------
    revision : int
        Revision of the platform up to which this is complete.
    policy : Policy or None
        Policy, None if it has not changed or cannot be read.
    document : bytes
        Its text, for nodes that cannot reach the platform.
    evacuated : tuple of (str, int)
        Data centres taken out, with the revision of that change.
    restored : tuple of (str, int)
        Data centres taken back, with the revision of that change.
    is_snapshot : bool
        Whether data centres that are not named are in service.
    """

    revision: int
    policy: Policy | None
    document: bytes
    evacuated: tuple[tuple[str, int], ...]
    restored: tuple[tuple[str, int], ...]
    is_snapshot: bool


class OperatorSource(Protocol):
    """Where operators declare policies and evacuations."""

    async def read(self) -> OperatorUpdate:
        """Return all that is declared.

        Raises
        ------
        PlatformError
            The platform cannot be reached.
        """
        ...

    async def changes(self, revision: int, wait: float) -> OperatorUpdate:
        """Return what has changed since a revision, waiting for it.

        Raises
        ------
        HistoryLostError
            The changes are no longer known.
        PlatformError
            The platform cannot be reached.
        """
        ...

    def parse(self, document: bytes) -> Policy | None:
        """Turn the text of a policy into a policy, None if it is none."""
        ...


@dataclass(frozen=True, slots=True)
class MemberUpdate:
    """Nodes of the deployment, as of one revision.

    Parameters
    ----------
    revision : int
        Revision of the platform up to which this is complete.
    changed : tuple of Member
        Nodes that are there, the last changed last.
    removed : tuple of str
        Names of nodes that have left.
    is_snapshot : bool
        Whether nodes that are not named are not there.
    """

    revision: int
    changed: tuple[Member, ...]
    removed: tuple[str, ...]
    is_snapshot: bool


class MemberDirectory(Protocol):
    """Where nodes find each other."""

    async def register(self, member: Member) -> None:
        """Write a node's entry.

        Raises
        ------
        PlatformError
            The platform cannot be reached; the entry may be written.
        """
        ...

    async def remove(self, name: str) -> None:
        """Remove a node's entry."""
        ...

    async def read(self) -> MemberUpdate:
        """Return all entries."""
        ...

    async def changes(self, revision: int, wait: float) -> MemberUpdate:
        """Return the entries that have changed, waiting for one."""
        ...


ControlHandler: TypeAlias = Callable[[HttpRequest], HttpResponse]
BackgroundTask: TypeAlias = Callable[[], Awaitable[None]]
