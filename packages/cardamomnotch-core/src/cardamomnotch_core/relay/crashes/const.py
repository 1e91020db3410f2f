"""Constants of crash detection and quarantine."""

from typing import Final

# Upstream crashes that a request or a prompt part may have caused before it is
# quarantined.
MAX_CRASHES: Final = 2

# Time within which an upstream crashes after the answer to the request that
# crashes it has begun, in seconds.
CRASH_ONSET_S: Final = 1.0

# Time for which a request or a prompt part that was answered is suspected less
# than others, in seconds.
ANSWER_RETENTION_S: Final = 60.0

# Time for which a request waits for other entries' reports of a crash before
# it is refused for that crash, in seconds.
CRASH_REPORT_SPREAD_S: Final = 1.0

# Time within which the ends of several processes belong to one moment, in
# seconds: what ends them together is noticed at slightly different times.
END_MOMENT_S: Final = 0.3

# Processes that may end at the same moment for unrelated reasons.
MAX_UNRELATED_ENDS: Final = 3

# Time before and after a suspect's crashes in which ends of other processes speak
# for an outside cause, in seconds.
OUTSIDE_ENDS_WINDOW_S: Final = 10.0

# Time after which a run is forgotten if its end was not received, in seconds.
ISOLATED_RUN_EXPIRY_S: Final = 5.0

# Time after repeated crashes in which the only upstream of a service that is left
# gets no suspected requests, in seconds.
LAST_UPSTREAM_PROTECTION_S: Final = 10.0

# Time after its last crash until a quarantined request or prompt part is tried
# once more, alone, in seconds, and the factor by which it grows with each
# failed trial.
QUARANTINE_S: Final = 10.0
QUARANTINE_GROWTH: Final = 4

# Time after its last crash for which a request's crashes are counted, in
# seconds.
CRASH_RETENTION_S: Final = 600.0

# Time within which an upstream's end in the store is attributed to requests
# that it has left unanswered, in seconds: the store lists a process that sends
# no heartbeats for a while.
CRASH_NOTICE_S: Final = 8.0

# Crashes in one report, which must fit into one value of the store, and refutations.
MAX_REPORTED_CRASHES: Final = 4_000

# Suspects whose crashes are counted: more than the requests of one upstream may have.
# The one with the oldest crash is evicted, of those with one crash if there are any.
MAX_SUSPECTS: Final = 40_000

# Refutations that are remembered, crashes and refutations that wait to be stored.
MAX_REFUTATIONS: Final = 40_000
MAX_UNREPORTED: Final = 40_000

# Suspects whose answers are counted.
MAX_ANSWERED_SUSPECTS: Final = 20_000

# Suspects that are forgotten at a time: all of a crash expire at one moment.
MAX_EXPIRED_AT_ONCE: Final = 2_000

# Suspects of one crash that are named in the log, those with most crashes.
MAX_LOGGED_SUSPECTS: Final = 20

# Suspects of all requests that are served, or that ended without an answer within
# CRASH_NOTICE_S, from which requests with many of them are refused; each takes about
# 150 bytes. Not above MAX_SUSPECTS, or a crash could evict its own suspects.
MAX_HELD_SUSPECTS: Final = 40_000
