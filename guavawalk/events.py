"""The numbered log events of all processes; docs/EVENTS.md lists them."""

import logging
from typing import NamedTuple

__all__ = ["EVENTS", "Event"]


class Event(NamedTuple):
    """A kind of log event.

    Attributes
    ----------
    number : int
        Unique, and not reused once the event is removed. The thousands give the group: 1000
        process, 2000 request, 3000 connection, 4000 version, 5000 membership, 6000 orders,
        7000 administration.
    name : str
        Name under which log lines and `EVENTS` list the event.
    level : int
        Level of the `logging` module, or `AUDIT`.
    message : str
        Fixed text; the details of one occurrence are separate fields of its log line.
    """

    number: int
    name: str
    level: int
    message: str


EVENTS: dict[str, Event] = {}

# Above every level that a log can be set to, so that operators' actions are always logged.
AUDIT = 60
logging.addLevelName(AUDIT, "AUDIT")


def _event(number: int, name: str, level: int, message: str) -> Event:
    event = Event(number, name, level, message)
    EVENTS[name] = event
    return event


PROCESS_STARTED = _event(1001, "process_started", logging.INFO, "the process has started")
PROCESS_READY = _event(1002, "process_ready", logging.INFO, "the process accepts work")
SHUTDOWN_BEGUN = _event(
    1003, "shutdown_begun", logging.INFO, "shutdown has begun; no new work is accepted"
)
SHUTDOWN_DONE = _event(1004, "shutdown_done", logging.INFO, "shutdown is complete")
SHUTDOWN_FORCED = _event(
    1005, "shutdown_forced", logging.WARNING, "shutdown was forced; unfinished work was cut off"
)
TASK_FAILED = _event(1006, "task_failed", logging.ERROR, "a task failed with an unexpected error")

SETTINGS_CHANGED = _event(1007, "settings_changed", logging.INFO, "new settings were read")
SETTINGS_REJECTED = _event(
    1008,
    "settings_rejected",
    logging.ERROR,
    "new settings are invalid; the old ones stay in effect",
)
LOG_LINES_DROPPED = _event(
    1009, "log_lines_dropped", logging.WARNING, "log lines were dropped, counted by kind"
)

SHUTDOWN_REFUSES = _event(
    1010, "shutdown_refuses", logging.INFO, "new calls are refused and idle connections closed"
)

REQUEST_ENDED = _event(2001, "request_ended", logging.INFO, "a request has ended")
REQUEST_INVALID = _event(2002, "request_invalid", logging.WARNING, "a request was refused")
ATTEMPT_ENDED = _event(2003, "attempt_ended", logging.INFO, "an attempt has ended")
ATTEMPT_REFUSED = _event(2004, "attempt_refused", logging.INFO, "an attempt was refused")

CALL_REJECTED = _event(
    2010, "call_rejected", logging.INFO, "a call was rejected because it could not be read"
)
CALL_REFUSED = _event(2011, "call_refused", logging.INFO, "a call was refused before any attempt")
CALL_SENT = _event(2012, "call_sent", logging.INFO, "a call is sent to a target")
CALL_ATTEMPT_ENDED = _event(2013, "call_attempt_ended", logging.INFO, "an attempt has ended")
CALL_ENDED = _event(2014, "call_ended", logging.INFO, "a call has ended")
CALL_WAITS = _event(2015, "call_waits", logging.INFO, "a call waits for capacity at a target")

CALL_SUSPECTED = _event(
    2016, "call_suspected", logging.WARNING, "a target died while a call was in flight there"
)

CALL_BLOCKED = _event(
    2018, "call_blocked", logging.WARNING, "a request is refused here since it ends targets"
)

CALL_TRIED = _event(
    2022,
    "call_tried",
    logging.INFO,
    "a call shows whether its request ended two targets that ended together",
)
PART_BLAMED = _event(
    2019,
    "part_blamed",
    logging.WARNING,
    "targets ended one after the other while they began to run prompts with a part",
)
PART_CLEARED = _event(
    2020, "part_cleared", logging.INFO, "a part of prompts is no longer blamed for ended targets"
)
PART_TRIED = _event(
    2021, "part_tried", logging.INFO, "a call shows whether a blamed part still ends targets"
)

CALL_SILENT = _event(2017, "call_silent", logging.INFO, "a target has sent nothing for too long")

OFFER_NOT_RUN = _event(2070, "offer_not_run", logging.INFO, "a target did not run an offer")

LINK_REJECTED = _event(3001, "link_rejected", logging.WARNING, "a link was rejected")
LINK_BROKEN = _event(3002, "link_broken", logging.INFO, "a link broke")

CALLER_TURNED_AWAY = _event(
    3010,
    "caller_turned_away",
    logging.INFO,
    "a connection was closed because no file descriptors are left",
)

OFFER_LINK_BROKEN = _event(
    3070, "offer_link_broken", logging.INFO, "a link that carried an offer broke"
)

VERSION_IN_FORCE = _event(4001, "version_in_force", logging.INFO, "a version is in force")
VERSION_CONFLICT = _event(
    4002, "version_conflict", logging.ERROR, "one version number has two digests"
)
VERSION_INVALID = _event(
    4003, "version_invalid", logging.ERROR, "a version is invalid and was not activated"
)
PLATFORM_UNAVAILABLE = _event(
    4004,
    "platform_unavailable",
    logging.WARNING,
    "the platform's service did not give a usable answer",
)

ROUTES_IN_FORCE = _event(4010, "routes_in_force", logging.INFO, "newer routes are in force")
ROUTES_INVALID = _event(
    4011, "routes_invalid", logging.ERROR, "published routes are invalid and were not activated"
)
TARGET_REGISTERED = _event(
    4012, "target_registered", logging.INFO, "a target's registration is new or has changed"
)
TARGET_GONE = _event(4013, "target_gone", logging.INFO, "a target's registration is gone")
REGISTRATION_INVALID = _event(
    4014, "registration_invalid", logging.WARNING, "a registration is invalid and was ignored"
)
TARGETS_FETCHED = _event(
    4017, "targets_fetched", logging.INFO, "newer registrations were fetched from another gateway"
)
TARGETS_READ = _event(
    4029, "targets_read", logging.INFO, "all registrations were read from the registry"
)
TARGET_ENDED = _event(4019, "target_ended", logging.INFO, "there is evidence that a target ended")
TARGET_LEAVES = _event(4020, "target_leaves", logging.INFO, "a target says that it leaves")
TARGET_QUIET = _event(
    4021, "target_quiet", logging.INFO, "a target wants no calls from this gateway for some time"
)
TARGET_PAUSED = _event(
    4018, "target_paused", logging.INFO, "a target accepts no connections and is paused"
)
TARGET_COLD = _event(4027, "target_cold", logging.INFO, "a target is cold, and is sent few calls")
TARGET_PACED = _event(4028, "target_paced", logging.INFO, "calls are held back from a cold target")
REGISTRY_LOST = _event(
    4015, "registry_lost", logging.WARNING, "the registry did not give a usable answer"
)
REGISTRY_BACK = _event(4016, "registry_back", logging.INFO, "the registry answers again")

REGISTRY_ERA_BEGUN = _event(
    4022,
    "registry_era_begun",
    logging.WARNING,
    "the registry has returned from an older copy of itself",
)
REGISTRATIONS_OUTDATED = _event(
    4023,
    "registrations_outdated",
    logging.INFO,
    "older copies of registrations were ignored, since their targets drain or are gone",
)
EVACUATION_IN_FORCE = _event(
    4024, "evacuation_in_force", logging.WARNING, "a data centre is evacuated: it gets no calls"
)
EVACUATION_LIFTED = _event(
    4025, "evacuation_lifted", logging.WARNING, "a data centre is no longer evacuated"
)
EVACUATION_INVALID = _event(
    4026, "evacuation_invalid", logging.ERROR, "an evacuation names no data centre and was ignored"
)

ADMIN_DRAINED = _event(7001, "admin_drained", AUDIT, "an operator drained the target")
ADMIN_ADMITTING_STOPPED = _event(
    7002, "admin_admitting_stopped", AUDIT, "an operator stopped admission at the entry"
)
ADMIN_LOG_LEVEL_SET = _event(7003, "admin_log_level_set", AUDIT, "an operator set the log level")
ADMIN_REFUSED = _event(
    7004, "admin_refused", logging.WARNING, "an administration request was refused"
)

ADMIN_SUSPECT_CLEARED = _event(
    7005, "admin_suspect_cleared", AUDIT, "an operator let a suspect run again"
)

PEER_UNREACHABLE = _event(5001, "peer_unreachable", logging.INFO, "a peer could not be reached")
MEMBER_RESTARTED = _event(
    5002, "member_restarted", logging.INFO, "a peer has restarted with a new incarnation"
)
PROCESS_WAS_PAUSED = _event(
    5003, "process_was_paused", logging.WARNING, "this process was paused and revalidates its state"
)
GATEWAY_HEARD = _event(
    5020, "gateway_heard", logging.INFO, "reports from another gateway have begun to arrive"
)
GATEWAY_SILENT = _event(
    5021, "gateway_silent", logging.INFO, "reports from a gateway have stopped arriving"
)

LEAVING_BEGUN = _event(
    5010, "leaving_begun", logging.INFO, "the target is leaving and accepts no new work"
)
LEAVING_ENDED = _event(
    5011, "leaving_ended", logging.INFO, "a reason for the target to leave no longer holds"
)

ORDER_GIVEN = _event(6001, "order_given", logging.INFO, "an order is sent to the engine")
ORDER_FAILED = _event(6002, "order_failed", logging.WARNING, "an order was refused or lost")
ORDERS_OVERTAKEN = _event(
    6003, "orders_overtaken", logging.WARNING, "another process has given the engine orders"
)
ENGINE_UNREADABLE = _event(
    6004, "engine_unreadable", logging.WARNING, "the engine's state could not be read"
)
