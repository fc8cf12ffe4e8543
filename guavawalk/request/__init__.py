"""What lives as long as one request."""

from guavawalk.request import answer, attempt, cost, explain, placement, prompt, ticket, types
from guavawalk.request.answer import *
from guavawalk.request.attempt import *
from guavawalk.request.cost import *
from guavawalk.request.explain import *
from guavawalk.request.placement import *
from guavawalk.request.prompt import *
from guavawalk.request.ticket import *
from guavawalk.request.types import *

__all__ = [
    *answer.__all__,
    *attempt.__all__,
    *cost.__all__,
    *explain.__all__,
    *placement.__all__,
    *prompt.__all__,
    *ticket.__all__,
    *types.__all__,
]
