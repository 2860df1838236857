"""Decisions on rollouts: moving a service to the upstreams of a version.

``Rollout`` leads one rollout at its decider, ``ServiceVersions`` says at an
entry node which members may take calls, and ``UpstreamRollout`` counts answers
at the node beside an upstream.
"""

from mustardshunt.rollouts._access import (
    MemberVersion,
    ServiceVersions,
    barred_names,
    planned_names,
)
from mustardshunt.rollouts._evidence import (
    Reference,
    RouteEvidence,
    VersionEvidence,
    bucket_of,
    find_fault,
    nats_against,
)
from mustardshunt.rollouts._orders import (
    RolloutBounds,
    RolloutOrder,
    RolloutPhase,
    RolloutStage,
    RolloutVerdict,
)
from mustardshunt.rollouts._reports import ReportTable, UpstreamReport
from mustardshunt.rollouts._rollout import Rollout, end_of
from mustardshunt.rollouts._share import VersionShare, first_credit
from mustardshunt.rollouts._turns import STAGE_SECONDS, DeciderTurn
from mustardshunt.rollouts._upstream import MAX_BAD_ANSWERS, UpstreamRollout

__all__ = [
    'MAX_BAD_ANSWERS',
    'STAGE_SECONDS',
    'DeciderTurn',
    'MemberVersion',
    'Reference',
    'ReportTable',
    'Rollout',
    'RolloutBounds',
    'RolloutOrder',
    'RolloutPhase',
    'RolloutStage',
    'RolloutVerdict',
    'RouteEvidence',
    'ServiceVersions',
    'UpstreamReport',
    'UpstreamRollout',
    'VersionEvidence',
    'VersionShare',
    'barred_names',
    'bucket_of',
    'end_of',
    'find_fault',
    'first_credit',
    'nats_against',
    'planned_names',
]
