"""Logs and metrics of a process."""

from guavawalk.process.observe import log, metrics
from guavawalk.process.observe.log import *
from guavawalk.process.observe.metrics import *

__all__ = [*log.__all__, *metrics.__all__]
