"""Header names of the platform, as bytes in lower case."""

REQUEST_ID = b"request-id"
REMAINING_MS = b"deadline-ms"  # A duration, not a point in time.
KEY = b"shard-key"
SIGNATURE = b"response-signature"
NOT_EXECUTED = b"not-executed"
EXPECTED_SERVER = b"expected-instance"
HANDOVER_TOKEN = b"handover-token"
SERVER_LIMIT = b"server-limit"  # Requests per second.
SERVER_LEAVING = b"server-leaving"
RETRY_AFTER = b"retry-after"
STORE_ERA = b"store-era"  # Rises when the store comes back from a copy.
