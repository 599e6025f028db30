"""Names that the platform's tables, keys and headers have on the wire."""

from typing import Final

from waxwingarch.ports.front import RELAY_HEADER, RUN_AT_HEADER

# The operator writes the first table, the servers register in the second.
OPERATOR_TABLE: Final = "op"
CONFIG_KEY: Final = "config"
SERVERS_TABLE: Final = "servers"
# Holds the state of each rollout, under this prefix and the service. Rollout
# orders in the operator's table have keys with the same prefix.
STATUS_TABLE: Final = "status"
ROLLOUT_KEY_PREFIX: Final = "rollout/"
# While the operator's table has a row under this prefix and the zone, nothing
# is sent to the servers of the zone.
EVACUATION_KEY_PREFIX: Final = "evacuate/"

# Headers of callers and servers, in lower case.
HEADER_REQUEST_ID: Final = "x-waxwingarch-request-id"
HEADER_DEADLINE_MS: Final = "x-waxwingarch-deadline-ms"
HEADER_API_KEY: Final = "x-api-key"
# The tenant is a client account.
HEADER_TENANT: Final = "x-waxwingarch-tenant-name"
# The shareable parts of the prompt: "ID:TOKENS,ID:TOKENS".
HEADER_PROMPT_PREFIX: Final = "x-waxwingarch-prompt-prefix"
# The size of the prompt and the most tokens to generate: "PROMPT,OUTPUT".
HEADER_TOKEN_USAGE: Final = "x-waxwingarch-token-usage"
HEADER_LAST_EVENT_ID: Final = "last-event-id"
# The backend server that the request is meant for. Another server that has
# taken over its address rejects the request.
HEADER_TARGET_SERVER: Final = "x-waxwingarch-target-instance"
HEADER_PRIORITY: Final = "x-waxwingarch-request-priority"
HEADER_SERVER_STAMP: Final = "x-waxwingarch-server-stamp"
HEADER_NOT_EXECUTED: Final = "x-waxwingarch-not-executed"
# "1" in all responses of a server that is leaving.
HEADER_SERVER_LEAVING: Final = "server-leaving"
HEADER_RETRY_AFTER: Final = "retry-after"
# The requests a second that a server takes from all hosts together.
HEADER_SERVER_LIMIT: Final = "server-limit"
# The server falls over if it rejects more requests than this in a second.
HEADER_SERVER_BRITTLE: Final = "server-brittle"
# The milliseconds for which a server is still cold, in its health responses.
HEADER_COLD_REMAINING: Final = "x-waxwingarch-cold-remaining-ms"
# The field of a server's row with the same value.
FIELD_COLD_REMAINING: Final = "cold_remaining_ms"
# Rises by one each time that the store returns from an older copy.
HEADER_STORE_ERA: Final = "store-era"
# Where the server fetches the KV cache of a migrated run: "ADDRESS/HANDLE".
HEADER_KV_SOURCE: Final = "kv-from"
HEADER_DUTY_HOLDER: Final = "x-waxwingarch-duty-holder"
HEADER_FENCING_TOKEN: Final = "x-waxwingarch-fencing-token"

# Headers that only this system may set on a request to a server. They are
# removed from the caller's request.
SYSTEM_HEADERS: Final = frozenset(
    {
        HEADER_DEADLINE_MS,
        HEADER_API_KEY,
        HEADER_TENANT,
        HEADER_TARGET_SERVER,
        HEADER_PRIORITY,
        HEADER_KV_SOURCE,
        "x-waxwingarch-cache-hold",
        "x-waxwingarch-pin-ms",
        "x-waxwingarch-kv-backup",
        "x-waxwingarch-expected-version",
        "kv-fetch",
        RELAY_HEADER,
        RUN_AT_HEADER,
    }
)
# Headers that concern one connection, and those that the HTTP library writes
# itself.
HOP_HEADERS: Final = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "content-length",
        "expect",
        RUN_AT_HEADER,
    }
)

MS_PER_S: Final = 1000
