"""Decides when a call is worth sending to another data centre, and how many calls may follow it.

All costs are shares of a call's value. The value itself is not known to a gateway, so it is
estimated from the call's tokens. Time lost on the way, and a prompt that must be processed again,
are part of the expected time to the first event and are not counted here.

Load handled: one data centre has less capacity for a service than its callers need, while targets
of the service in others are free.
"""

from collections.abc import Mapping
from enum import Enum
from typing import NamedTuple

from guavawalk.request.call import Call
from guavawalk.request.cost import OUTPUT_TOKEN_COST
from guavawalk.version.routes import RouteKind

__all__ = [
    "CROSSING_DELAY_S",
    "NO_LOADS",
    "CentreLoad",
    "CrossingReason",
    "ServiceLoads",
    "crossing_bytes",
    "crossing_cost",
    "crossing_is_open",
    "load_difference",
    "max_crossings",
    "reserve_factor",
]

# Time that a call loses on the way to another data centre and back, in seconds: twice the 4.4 ms of
# the slowest link. It is not measured: the time to connect, at which it shows, is lost among the
# target's own delays, and 9 ms are a hundredth of a latency goal.
CROSSING_DELAY_S = 0.009
# Price of a byte between data centres, in the deployments' units: 1,700 for each GB.
BYTE_PRICE = 1.7e-6
# Value of a call in the same units: the deployments state 0.25 to 7.1 and not which call has which.
# It is assumed to grow with what an engine does for it, up to the largest at 40,000 prompt tokens.
MIN_VALUE = 0.25
MAX_VALUE = 7.1
VALUE_PER_TOKEN = (MAX_VALUE - MIN_VALUE) / 40_000
# Bytes of a request's head, with the headers that a gateway adds, and of an answer's head.
HEAD_BYTES = 1_000
# Bytes of an event of a stream: a token or two with id, JSON and framing take 100 to 200.
EVENT_BYTES = 150
# Bytes of the answer of a plain service; a gateway does not know its length before it arrives.
PLAIN_ANSWER_BYTES = 2_000
# Largest answer that is assumed without a hint, in tokens: the limit that callers state is often
# many times the length of the answer.
UNHINTED_OUTPUT_TOKENS = 300
# Cost of taking the last free slot of a data centre that is less in demand than the own one by no
# slot at all; as the load of one target costs, the call slows down others and delays the next.
ROOM_COST = 0.10
# Greatest demand for a slot that is counted: the longest queue does not justify more crossings than
# one call for each slot.
MAX_DEMAND = 2.0
# Largest demand that counts against the load there when calls begin or cease to leave. Calls that
# wait there are in no report, and begin to once about all slots there are taken; a longer queue
# here must not take those slots from them.
FULL_DEMAND = 1.05
# Difference between the demand for each slot here and the load there from which calls may leave,
# and below which they may no longer. Reports are up to 1 s old, in which the load of a data centre
# changes by about a tenth; at an equal value all gateways would start and stop together.
OPEN_DIFFERENCE = 0.25
CLOSE_DIFFERENCE = 0.10
# Calls for each slot that wait, from which on the reserve in other data centres is at its least,
# and that least, as a share of the usual reserve. The rest remains since other gateways that see
# the same free slot are still unknown.
PRESSING_QUEUE = 0.25
MIN_RESERVE_FACTOR = 0.35


class CrossingReason(Enum):
    """Why a call is sent to another data centre.

    `NONE`: it is not. `NO_TARGET`: no target of the own data centre can take it, busy or not.
    `FULL`: all there are busy. `GOAL`: the first event would be late there or the answer cut off at
    the deadline. `FAILURE`: those there with free slots fail.
    """

    NONE = ""
    NO_TARGET = "no_target"
    FULL = "full"
    GOAL = "goal"
    FAILURE = "failure"


class CentreLoad(NamedTuple):
    """Load of the targets of one service in a data centre, by the last reports.

    Attributes
    ----------
    running : int
        Calls of all gateways at the targets.
    slots : int
        Calls that the targets run at once; 0 if none can take calls.
    """

    running: int = 0
    slots: int = 0

    @property
    def share(self) -> float:
        """Calls for each slot; 1 without slots."""
        return self.running / self.slots if self.slots else 1.0


class ServiceLoads(NamedTuple):
    """Loads of one service as a gateway estimates them at one moment.

    Attributes
    ----------
    own : CentreLoad
        Of the gateway's data centre.
    others : mapping of str to CentreLoad
        Of the other data centres that have targets, by name.
    waiting : float
        Estimated number of calls that wait at all gateways of the own data centre.
    sender_share : float
        Estimated share of the own data centre's calls that this gateway sends, from 0 to 1.
    """

    own: CentreLoad = CentreLoad()
    others: Mapping[str, CentreLoad] = {}
    waiting: float = 0.0
    sender_share: float = 1.0

    @property
    def demand(self) -> float:
        """Calls that run or wait for each slot of the own data centre, up to `MAX_DEMAND`."""
        if not self.own.slots:
            return MAX_DEMAND
        return min((self.own.running + self.waiting) / self.own.slots, MAX_DEMAND)


NO_LOADS = ServiceLoads()


def crossing_bytes(call: Call) -> int:
    """Return the expected bytes of a call and its answer between data centres."""
    answer_bytes = PLAIN_ANSWER_BYTES
    if call.route.kind is RouteKind.STREAM:
        answer_bytes = EVENT_BYTES * _output_tokens(call)
    return 2 * HEAD_BYTES + len(call.body) + answer_bytes


def crossing_cost(call: Call, loads: ServiceLoads, data_centre: str) -> float:
    """Return the cost of sending a call to another data centre, as a share of its value.

    It is the price of the bytes, and the room taken from callers there. The latter grows with the
    load there less the demand here; it is 0 for a data centre whose load is not known.
    """
    tokens = call.fields.prompt_tokens + OUTPUT_TOKEN_COST * _output_tokens(call)
    value = min(MIN_VALUE + VALUE_PER_TOKEN * tokens, MAX_VALUE)
    cost = BYTE_PRICE * crossing_bytes(call) / value
    if data_centre in loads.others:
        difference = load_difference(loads, data_centre)
        cost += ROOM_COST * min(max(1.0 - difference, 0.0), 1.0) * loads.others[data_centre].share
    return cost


def _output_tokens(call: Call) -> int:
    fields = call.fields
    return fields.hinted_output_tokens or min(fields.max_output_tokens, UNHINTED_OUTPUT_TOKENS)


def load_difference(loads: ServiceLoads, data_centre: str) -> float:
    """Return the demand for each slot here less the load of each slot of a data centre."""
    return loads.demand - loads.others[data_centre].share


def crossing_is_open(loads: ServiceLoads, data_centre: str, was_open: bool) -> bool:
    """Return whether calls that find no free slot here may leave for a data centre.

    Parameters
    ----------
    was_open : bool
        Whether they might leave before; then a lower difference suffices.
    """
    difference = min(loads.demand, FULL_DEMAND) - loads.others[data_centre].share
    return difference >= (CLOSE_DIFFERENCE if was_open else OPEN_DIFFERENCE)


def max_crossings(loads: ServiceLoads, data_centre: str, recent: int) -> int:
    """Return how many calls this gateway may have sent to a data centre in the age of a report.

    All gateways of the own data centre together may send what makes the loads equal, each in
    proportion to its traffic; each may send one.

    Parameters
    ----------
    recent : int
        Calls that this gateway has sent there in that time. They are part of the load there.
    """
    own, other = loads.own.slots, loads.others[data_centre].slots
    if not own or not other:
        return recent + 1
    excess = load_difference(loads, data_centre) * own * other / (own + other)
    return max(int(loads.sender_share * (max(excess, 0.0) + recent)), 1)


def reserve_factor(loads: ServiceLoads) -> float:
    """Return the share of the usual reserve of slots elsewhere that is kept, from 0 to 1.

    It is 1 while no calls wait, and falls with those that do.
    """
    slots = loads.own.slots or sum(load.slots for load in loads.others.values())
    pressure = loads.waiting / max(slots, 1) / PRESSING_QUEUE
    return max(1.0 - pressure, MIN_RESERVE_FACTOR)
