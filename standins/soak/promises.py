"""The promises that a soak checks, and the time limits it applies."""

from enum import StrEnum
from typing import Final


class Promise(StrEnum):
    """Promises of the users' platform that callers and servers rely on."""

    WHOLE = "a success is the caller's own whole answer"
    ONCE = "what may not be repeated runs at most once"
    NOT_RUN = "refused as not run, it did not run"
    ALONE = "a stream goes on at one server at a time"
    IN_TIME = "a request ends within its route's time limit"
    GONE = "a caller that leaves ends its run"
    SERVED = "a sound host with sound servers serves every request"
    REPEATED = "what may be repeated is served despite one bad server"
    IN_FORCE = "a key that was taken away opens nothing"
    NO_REVERT = "a configuration never reverts within a process"
    DRAIN = "a leaving server gets nothing new"
    STOP = "a planned stop ends in time and cuts off nobody"
    ANSWERED = "what a host read whole is answered or refused"
    LIMIT = "a server gets no more than the limit that it names"
    RELAYED = "callers of a host that reaches no server are served"
    QUARANTINE = "after some crashes an input reaches few servers"
    READY = "a host that was started becomes ready"
    ALIVE = "no process ends by itself"
    FENCE = "duties are never done with an older fencing number"
    USAGE = "one window of usage is never reported two ways"


# Statuses by which a host says that no server ran the request.
NOT_RUN_STATUSES: Final = (408, 421, 429, 503)

# Limits set by the users' platform.
# Calls that begin this long after the end of a fault don't feel it.
FAULT_RECOVERY_S: Final = 4.0
# A host has applied a changed configuration after this time.
CONFIG_APPLY_LIMIT_S: Final = 3.0
# A server gets no new work this long after its row says "draining".
DRAIN_APPLY_LIMIT_S: Final = 3.0
# After this many crashes under a prompt part or a whole request, and the time
# in which hosts hear of each other, at most so many runs with it begin.
PART_CONDEMNED_AFTER: Final = 5
REQUEST_CONDEMNED_AFTER: Final = 3
CONTACT_S: Final = 3.0
MAX_CONDEMNED_RUNS: Final = 3
# In some `LIMIT_WINDOW_S`, from `CONTACT_S` after a server first named its
# limit, it gets at most `LIMIT_RATIO` of what that allows and `LIMIT_EXTRA`
# requests from hosts that had passed the limit on `LIMIT_TOLD_S` before.
LIMIT_WINDOW_S: Final = 4.0
LIMIT_RATIO: Final = 1.5
LIMIT_EXTRA: Final = 5
LIMIT_TOLD_S: Final = 0.5
# Name of the fault of a host that reaches no server. From `CONTACT_S` after it
# began, its callers are served `PARTITIONED_SERVED_RATIO` times as often as
# those of others, or at most `PARTITIONED_EXTRA` and `PARTITIONED_RATIO` of
# all calls fail there.
PARTITION: Final = "partition"
# Kind of the fault of a host whose connections to servers are reset, while
# new ones are taken. The host and the servers learn of it after at most so
# long, as connections are not idle for longer.
PATH_RESET: Final = "path reset"
PATH_RESET_S: Final = 5.0
PARTITIONED_SERVED_RATIO: Final = 2 / 3
PARTITIONED_EXTRA: Final = 10
PARTITIONED_RATIO: Final = 0.02
# A host ends within this time after SIGTERM.
STOP_GRACE_S: Final = 8.0
# A call of a duty with an older fencing number is excused this long after a
# fault: a host that was suspended may finish a call that it began before.
THAW_SLACK_S: Final = 0.3
# While the store is unreachable, a host misses changes of servers. It has
# learnt of them after this time: the longest fault of the store plus the
# longest fault of a server.
MISSED_CHANGE_S: Final = 20.0
# A host may send its response this long after the time limit.
RESPONSE_SLACK_S: Final = 0.5
# A server may still have a run this long after another has continued it.
OVERLAP_LIMIT_S: Final = 0.4
# A server that is silent for at most this long is sound.
SOUND_SILENCE_S: Final = 1.3
# Kind of the interval in which several sound servers are silent.
PAUSE: Final = "pause"
# A server ends a run this long after its caller has disconnected.
CANCEL_LIMIT_S: Final = 0.5
# A host that stops may close a connection on which a request crosses this
# close; it was then not passed on, and the close follows within this time.
LOSS_SLACK_S: Final = 0.2
# The shortest time-outs of routes that a change of configuration sets.
SHORT_PLAIN_TIMEOUT_S: Final = 1.2
SHORT_STREAM_TIMEOUT_S: Final = 3.0
# Name and kind of the interval in which the configuration changes in series.
CONFIG_SERIES: Final = "config series"
# Delays of the operating system: all processes of a soak share its cores.
SCHEDULING_SLACK_S: Final = 0.5
