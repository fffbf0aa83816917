"""Header names on the wire, lower case, by what they hold."""

REQUEST_ID = b"request-id"
TIME_LEFT = b"deadline-ms"  # Milliseconds left, not a point in time.
KEY = b"shard-key"
SIGNATURE = b"response-signature"
NOT_RUN = b"not-executed"
EXPECTED_SERVER = b"expected-instance"
HANDOVER = b"handover-token"
RETRY_AFTER = b"retry-after"
