"""Constants shared by the daemon and the command-line tool."""

from typing import Final

VERSION: Final = "0.1.0"

HEADER_IDEMPOTENCY_KEY: Final = "idempotency-key"
HEADER_LAST_EVENT_ID: Final = "last-event-id"
HEADER_NON_IDEMPOTENT: Final = "x-non-idempotent"
HEADER_REPLAYED: Final = "x-replayed"
HEADER_RESUME_ID: Final = "x-resume-id"
HEADER_REQUEST_ID: Final = "x-request-id"
HEADER_CALL_ID: Final = "x-call-id"
HEADER_DEADLINE_MS: Final = "x-deadline-ms"

# Within a region a connection opens in a few milliseconds, and a lost SYN is
# retransmitted only after a second.
BACKEND_CONNECT_TIMEOUT_S: Final = 0.4
# Decimals of the times in log lines, which are in seconds.
LOGGED_DECIMALS: Final = 3

# Exit codes of the daemon and of the command-line tool.
EXIT_OK: Final = 0
EXIT_FAILURE: Final = 1
EXIT_USAGE: Final = 2
EXIT_SETTINGS: Final = 3
EXIT_ADDRESS_IN_USE: Final = 4
# A second signal stopped the daemon before its requests had finished.
EXIT_FORCED_STOP: Final = 5
EXIT_CONFLICT: Final = 6
EXIT_UNAVAILABLE: Final = 7
EXIT_NOT_FOUND: Final = 8
# What a command waited for did not happen in time; it may still happen.
EXIT_WAIT_TIMED_OUT: Final = 9
# A comparison found differences.
EXIT_DIFFERS: Final = 10
# A version move ended in another state than the requested one.
EXIT_OTHER_OUTCOME: Final = 11
EXIT_UNKNOWN_OPERATOR: Final = 12
