"""Names of the platform's HTTP headers, store tables and paths."""

from typing import Final

REQUEST_ID_HEADER: Final = 'Mustardshunt-Request-Id'
# Header with the time, in milliseconds, for which the caller still waits.
DEADLINE_MS_HEADER: Final = 'Mustardshunt-Deadline-Ms'
EXPECTED_INSTANCE_HEADER: Final = 'Mustardshunt-Expect-Instance'
ORGANISATION_HEADER: Final = 'Mustardshunt-Tenant'
CALLER_SERVICE_HEADER: Final = 'Mustardshunt-Caller-Service'
# The backend server sets this header on its answers. A successful answer
# without this header does not come from the backend server.
RESPONSE_STAMP_HEADER: Final = 'Mustardshunt-Response-Stamp'
# A backend server sets this header when it refuses a request without running
# the request.
NOT_EXECUTED_HEADER: Final = 'Mustardshunt-Not-Executed'
# A backend server in need names in this header of its answers the requests a
# second that it takes from all nodes together.
REQUEST_LIMIT_HEADER: Final = 'Server-Limit'
# Health checks are answered with the process and the rest of its cold start.
INSTANCE_HEADER: Final = 'Mustardshunt-Instance-Id'
COLD_HEADER: Final = 'Mustardshunt-Cold-Ms'
# A backend server that leaves says so with ``1`` in all its answers.
LEAVING_HEADER: Final = 'Server-Leaving'
# The store names in its answers how often it has come back from a copy.
STORE_ERA_HEADER: Final = 'Store-Era'
AUTHORIZATION_HEADER: Final = 'Authorization'
BEARER_PREFIX: Final = 'Bearer '

# Table and keys in which operators write the policy and evacuations.
OPERATOR_TABLE: Final = 'op'
POLICY_KEY: Final = 'config'
EVACUATION_PREFIX: Final = 'evacuate/'
# Table in which nodes register themselves and find the other nodes.
MEMBER_TABLE: Final = 'nodes'
# Keys of verdicts in the same table, so that a node that starts reads them with
# the entries of the nodes.
VERDICT_PREFIX: Final = 'quarantine/'

# Keys of the operators' orders of rollouts, of what the nodes know of their
# start in the table of the nodes, and of their states in a table for operators.
ROLLOUT_PREFIX: Final = 'rollout/'
STATUS_TABLE: Final = 'status'

# Path below which a backend server sends heartbeats to its node.
INSTANCES_PATH: Final = '/instances/'
