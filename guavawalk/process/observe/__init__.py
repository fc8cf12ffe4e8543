"""Logs, metrics and histograms of a process."""

from guavawalk.process.observe import (
    gauges,
    histograms,
    log,
    metrics,
    names,
    observations,
    refusals,
    trace,
)
from guavawalk.process.observe.gauges import *
from guavawalk.process.observe.histograms import *
from guavawalk.process.observe.log import *
from guavawalk.process.observe.metrics import *
from guavawalk.process.observe.names import *
from guavawalk.process.observe.observations import *
from guavawalk.process.observe.refusals import *
from guavawalk.process.observe.trace import *

__all__ = [
    *gauges.__all__,
    *histograms.__all__,
    *log.__all__,
    *metrics.__all__,
    *names.__all__,
    *observations.__all__,
    *refusals.__all__,
    *trace.__all__,
]
