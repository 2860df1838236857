"""Parts of a sidecar that depend on the platform it runs on."""

from dataclasses import dataclass

from mustardshunt.sidecar._control import HeartbeatCodec
from mustardshunt.sidecar._ports import (
    HeaderCodec,
    MemberDirectory,
    OperatorSource,
    VerdictDirectory,
)
from mustardshunt.sidecar._rollout_records import RolloutDirectory
from mustardshunt.sidecar._settings_reload import AddressUser


@dataclass(frozen=True, slots=True)
class PlatformAdapter:
    """Platform-specific parts of a sidecar.

    Parameters
    ----------
    header_codec : HeaderCodec
        Reads and writes the headers of requests and answers.
    heartbeat_codec : HeartbeatCodec
        Parses heartbeats and departures of the backend server.
    operators : OperatorSource
        Source of policies and evacuations.
    directory : MemberDirectory
        Directory in which nodes register.
    verdicts : VerdictDirectory
        Keeps verdicts on requests that crash backend servers.
    store : AddressUser
        Connection to the platform, whose address may change.
    rollouts : RolloutDirectory or None, default=None
        Keeps the states of rollouts; without it, orders are ignored.
    """

    header_codec: HeaderCodec
    heartbeat_codec: HeartbeatCodec
    operators: OperatorSource
    directory: MemberDirectory
    verdicts: VerdictDirectory
    store: AddressUser
    rollouts: RolloutDirectory | None = None
