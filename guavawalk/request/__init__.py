"""What lives as long as one request."""

from guavawalk.request import (
    affinity,
    answer,
    attempt,
    cost,
    expected_cost,
    explain,
    placement,
    policies,
    prompt,
    rules,
    target_view,
    ticket,
    types,
    waste,
)
from guavawalk.request.affinity import *
from guavawalk.request.answer import *
from guavawalk.request.attempt import *
from guavawalk.request.cost import *
from guavawalk.request.expected_cost import *
from guavawalk.request.explain import *
from guavawalk.request.placement import *
from guavawalk.request.policies import *
from guavawalk.request.prompt import *
from guavawalk.request.rules import *
from guavawalk.request.target_view import *
from guavawalk.request.ticket import *
from guavawalk.request.types import *
from guavawalk.request.waste import *

__all__ = [
    *affinity.__all__,
    *answer.__all__,
    *attempt.__all__,
    *cost.__all__,
    *expected_cost.__all__,
    *explain.__all__,
    *placement.__all__,
    *policies.__all__,
    *prompt.__all__,
    *rules.__all__,
    *target_view.__all__,
    *ticket.__all__,
    *types.__all__,
    *waste.__all__,
]
