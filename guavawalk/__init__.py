"""guavawalk: a request scheduler for heterogeneous model engines and plain services."""

from guavawalk import codes, exception
from guavawalk.codes import *
from guavawalk.exception import *

__all__ = [*codes.__all__, *exception.__all__]
