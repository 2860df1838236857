"""Names of the platform's HTTP headers, store tables and paths."""

from typing import Final

REQUEST_ID_HEADER: Final = 'Mustardshunt-Request-Id'
# Milliseconds for which the caller still waits.
DEADLINE_MS_HEADER: Final = 'Mustardshunt-Deadline-Ms'
EXPECTED_INSTANCE_HEADER: Final = 'Mustardshunt-Expect-Instance'
ORGANISATION_HEADER: Final = 'Mustardshunt-Tenant'
CALLER_SERVICE_HEADER: Final = 'Mustardshunt-Caller-Service'
# Marks answers of the backend server; a successful answer without it was made
# by something else.
RESPONSE_STAMP_HEADER: Final = 'Mustardshunt-Response-Stamp'
# Set by a backend server that has refused a request without running it.
NOT_EXECUTED_HEADER: Final = 'Mustardshunt-Not-Executed'
AUTHORIZATION_HEADER: Final = 'Authorization'
BEARER_PREFIX: Final = 'Bearer '

# Table and keys in which operators write the policy and evacuations.
OPERATOR_TABLE: Final = 'op'
POLICY_KEY: Final = 'config'
EVACUATION_PREFIX: Final = 'evacuate/'
# Table in which nodes register and discover each other.
MEMBER_TABLE: Final = 'nodes'

# Path below which a backend server sends heartbeats to its node.
INSTANCES_PATH: Final = '/instances/'
