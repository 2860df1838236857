"""Names of the platform's headers, tables and paths."""

from typing import Final

REQUEST_ID: Final = 'Mustardshunt-Request-Id'
TIME_LEFT: Final = 'Mustardshunt-Deadline-Ms'
EXPECTED_INSTANCE: Final = 'Mustardshunt-Expect-Instance'
ORGANISATION: Final = 'Mustardshunt-Tenant'
CALLER_SERVICE: Final = 'Mustardshunt-Caller-Service'
STAMP: Final = 'Mustardshunt-Response-Stamp'
NOT_RUN: Final = 'Mustardshunt-Not-Executed'
KEY: Final = 'Authorization'
KEY_SCHEME: Final = 'Bearer '

# Table and keys that the platform's operators write.
OPERATOR_TABLE: Final = 'op'
POLICY_KEY: Final = 'config'
EVACUATION_PREFIX: Final = 'evacuate/'
# Table in which nodes find each other.
MEMBER_TABLE: Final = 'nodes'

INSTANCES_PATH: Final = '/instances/'
